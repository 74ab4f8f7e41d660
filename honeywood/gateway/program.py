"""What both programs share: settings, log, metrics, signals, and periodic tasks."""

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
from honeywood.gateway.settings_file import FAILURES, SettingsFile

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.event_log import EventLog

RELOAD_INTERVAL_S = 2.0  # seconds between two checks whether the settings file has changed
RELOAD_LOG_INTERVAL_S = 5.0
COUNTS_INTERVAL_S = 10.0  # seconds between two lines of counts in the log
# Objects after which the garbage collector runs: few here are part of reference cycles.
COLLECTION_THRESHOLDS = (20_000, 50, 100)
EXIT_USAGE = 2  # status of a program whose settings can't be used


class Program:
    """A process of the gateway."""

    def __init__(
        self,
        settings: Settings | None = None,
        caller: Caller | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        log: EventLog | None = None,
        random: Random | None = None,
    ) -> None:
        """Read the settings file, unless settings are passed.

        `clock` gives steady seconds, `wall_clock` the time of day. The incarnation is the higher, the later
        the program was started, as far as the time of day was right.
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
        """Return the settings of the file; ends the program with EXIT_USAGE where they can't be used."""
        try:
            return self.settings_file.read()
        except FAILURES as error:
            reason = f"{self.settings_file.path}: {error}"
            print(json.dumps({"event": "settings", "why": reason}), flush=True)
            raise SystemExit(EXIT_USAGE) from None

    def store_incarnation(self) -> str:
        """Return what tells a store from earlier ones, also where the time of day was set back."""
        return f"{self.incarnation}.{self.random.getrandbits(32):08x}"

    def configuration_version(self) -> str | None:
        """Return the configuration's version that is in use, as operators write it, for the log."""
        return None

    def discover_controllers(self, addresses: Iterable[str]) -> None:
        """Take note of controllers that the settings file names."""

    def metrics(self) -> Metrics:
        """Return a reading of the metrics."""
        return Metrics({}, {})

    async def reload_settings(self) -> None:
        """Take over the seeds of a settings file that has changed; other fields wait for a restart.

        A file that can't be used changes nothing.
        """
        try:
            settings = self.settings_file.read_if_modified()
        except FAILURES as error:
            self.log.info("settings rejected", min_interval_s=RELOAD_LOG_INTERVAL_S, why=str(error))
            return
        if settings is not None:
            self.discover_controllers([ip for ip, _ in settings.seeds])
            self.log.info("settings reloaded")

    async def wait_until_stopped(self) -> None:
        """Return at SIGTERM; until then reload the settings at SIGHUP and when the file has changed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: loop.create_task(self.reload_settings()))
        self.periodic_tasks.start(self.reload_settings, RELOAD_INTERVAL_S)
        await self.stopping.wait()
