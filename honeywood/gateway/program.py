"""What both programs share: settings, log, signals, and loops that end with the program."""

import asyncio
import gc
import json
import os
import signal
import time

from honeywood.gateway import event_log
from honeywood.gateway.configuration.settings import read
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.metrics import Metrics
from honeywood.gateway.metrics_endpoint import MetricsEndpoint
from honeywood.gateway.rpc.client import Caller

FILE = "HONEYWOOD_NODE_FILE"
REREAD = 2.0  # seconds between looks at whether the settings file has changed
COUNTS = 10.0  # seconds between lines of counts in the log
COLLECT = 20_000  # objects after which the youngest are collected: little here is circular


class Program:
    """A process of the system: `life` tells its lives apart, the later the higher. Time of day and the steady
    clock (seconds) may be handed in, as may the way to call others."""

    def __init__(self, settings=None, caller=None, clock=time.monotonic, wall=time.time, log=None):
        self.settings, self.clock, self.wall = settings or self.load(), clock, wall
        self.life, self.caller = f"{int(wall() * 1000):013x}", caller or Caller()
        self.loops, self.stopping = set(), asyncio.Event()
        event_log.configure()
        self.log = log or event_log.EventLog(self.settings.node, self.life, clock, self.config_held)
        self.metrics_endpoint = MetricsEndpoint(self.settings.ip, lambda: self.metrics(), self.log)
        gc.set_threshold(COLLECT, 50, 100)

    def store_incarnation(self):
        """What tells stores apart whose counts began anew, also where a clock was set back."""
        return f"{self.life}.{self.random.getrandbits(32):08x}"

    def load(self):
        """The settings; ends the program with status 2 where they can't be used."""
        self.path = os.environ.get(FILE, "/etc/honeywood/boot.toml")
        try:
            self.changed = os.stat(self.path).st_mtime_ns
            with open(self.path, encoding="utf-8") as file:
                return read(file.read())
        except (OSError, UnicodeDecodeError, GatewayError) as wrong:
            print(json.dumps({"event": "settings", "why": f"{self.path}: {wrong}"}), flush=True)
            raise SystemExit(2) from None

    def config_held(self):
        """The version of the configuration that this program goes by, in digits as operators send it."""
        return None

    async def reread(self):
        """Takes over the seeds of a settings file that has changed, signal or not. What can't be used
        leaves all as it was; other fields wait for a restart."""
        try:
            changed = os.stat(self.path).st_mtime_ns
            if changed == self.changed:
                return
            self.changed = changed
            with open(self.path, encoding="utf-8") as file:
                self.found([ip for ip, _ in read(file.read()).seeds])
            self.log.info("settings read again")
        except (OSError, UnicodeDecodeError, GatewayError) as wrong:
            self.log.info("settings not taken", min_interval_s=5.0, why=str(wrong))

    def found(self, controllers):
        """Controllers that are told of."""

    def metrics(self) -> Metrics:
        """What this program tells of itself."""
        return Metrics({}, {})

    def loop(self, step, every):
        """Runs `step` again and again, `every` seconds after it ended; what it raises is logged."""

        async def run():
            while True:
                try:
                    await step()
                except Exception as error:  # one turn's failure must not end a loop that others rely on
                    foreseen = isinstance(error, GatewayError)
                    self.log.info(
                        "loop failed",
                        min_interval_s=1.0,
                        step=step.__qualname__,
                        why=repr(error),
                        foreseen=foreseen,
                    )
                await asyncio.sleep(every)

        task = asyncio.get_running_loop().create_task(run())
        self.loops.add(task)

    async def until_stopped(self):
        """Returns at SIGTERM; until then reads the settings again at SIGHUP and when the file has changed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: loop.create_task(self.reread()))
        self.loop(self.reread, REREAD)
        await self.stopping.wait()
