"""The base class of both programs: settings, log, metrics, signals and periodic tasks."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
import time
from random import Random

from honeywood.gateway import event_log
from honeywood.gateway.metrics import Metrics
from honeywood.gateway.metrics_endpoint import MetricsEndpoint
from honeywood.gateway.periodic_tasks import PeriodicTasks
from honeywood.gateway.rpc.client import Caller
from honeywood.gateway.settings_file import READ_ERRORS, SettingsFile

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.event_log import EventLog

RELOAD_INTERVAL_S = 2.0  # seconds between checks for a changed settings file
RELOAD_LOG_INTERVAL_S = 5.0
COUNTS_INTERVAL_S = 10.0  # seconds between log lines of counts
# Thresholds of the garbage collector: high, because few objects here are part of reference cycles.
COLLECTION_THRESHOLDS = (20_000, 50, 100)
EXIT_USAGE = 2  # exit status for invalid settings


class Program:
    """A process of the gateway: a proxy or a controller."""

    def __init__(
        self,
        settings: Settings | None = None,
        caller: Caller | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        log: EventLog | None = None,
        random: Random | None = None,
    ) -> None:
        """Read the settings file, unless `settings` are passed.

        `clock` returns monotonic seconds, `wall_clock` the time of day. A program that is started later has a
        higher incarnation, provided that the time of day is right.
        """
        self.settings_file = SettingsFile.from_environment()
        self.settings = settings or self._read_settings()
        self.clock, self.wall_clock = clock, wall_clock
        self.random = random or Random()
        self.incarnation = f"{int(wall_clock() * 1000):013x}"
        self.caller = caller or Caller()
        self.stopping = asyncio.Event()
        event_log.configure()
        self.log = log or event_log.EventLog(
            self.settings.node, self.incarnation, clock, self.configuration_version
        )
        self.periodic_tasks = PeriodicTasks(self.log)
        self.metrics_endpoint = MetricsEndpoint(self.settings.ip, lambda: self.metrics(), self.log)
        gc.set_threshold(*COLLECTION_THRESHOLDS)

    def _read_settings(self) -> Settings:
        """Return the settings in the file; exit with EXIT_USAGE if they cannot be read or are invalid."""
        try:
            return self.settings_file.read()
        except READ_ERRORS as error:
            reason = f"{self.settings_file.path}: {error}"
            print(json.dumps({"event": "settings", "why": reason}), flush=True)
            raise SystemExit(EXIT_USAGE) from None

    def store_incarnation(self) -> str:
        """Return an identifier that no earlier store has, even if the time of day was set back."""
        return f"{self.incarnation}.{self.random.getrandbits(32):08x}"

    def configuration_version(self) -> str | None:
        """Return the version of the configuration in use, as operators write it, for the log."""
        return None

    def discover_controllers(self, addresses: Iterable[str]) -> None:
        """Handle the addresses of controllers that the settings file names; ignored unless overridden."""

    def metrics(self) -> Metrics:
        """Return a snapshot of the metrics."""
        return Metrics({}, {})

    async def reload_settings(self) -> None:
        """Apply the seeds of a settings file that has changed; other fields require a restart.

        An invalid file changes nothing.
        """
        try:
            settings = self.settings_file.read_if_modified()
        except READ_ERRORS as error:
            self.log.info("settings rejected", min_interval_s=RELOAD_LOG_INTERVAL_S, why=str(error))
            return
        if settings is not None:
            self.discover_controllers([ip for ip, _ in settings.seeds])
            self.log.info("settings reloaded")

    async def wait_until_stopped(self) -> None:
        """Return on SIGTERM; until then reload the settings on SIGHUP and whenever the file has changed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: loop.create_task(self.reload_settings()))
        self.periodic_tasks.start(self.reload_settings, RELOAD_INTERVAL_S)
        await self.stopping.wait()
