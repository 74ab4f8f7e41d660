"""What both programs share: settings, log, signals, and loops that end with the program."""

import asyncio
import gc
import json
import logging
import os
import signal
import sys
import time

import structlog

from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.metrics import CONTENT_TYPE, Figures, render
from honeywood.gateway.metrics import PATH as METRICS_PATH
from honeywood.gateway.rpc.asgi import send_response
from honeywood.gateway.rpc.client import Caller

FILE = "HONEYWOOD_NODE_FILE"
REREAD = 2.0  # seconds between looks at whether the settings file has changed
COUNTS = 10.0  # seconds between lines of counts in the log
COLLECT = 20_000  # objects after which the youngest are collected: little here is circular


class Program:
    """A process of the system: `life` tells its lives apart, the later the higher. Time of day and the steady
    clock (seconds) may be handed in, as may the way to call others."""

    def __init__(self, settings=None, caller=None, clock=time.monotonic, wall=time.time):
        self.settings, self.clock, self.wall = settings or self.load(), clock, wall
        self.life, self.caller = f"{int(wall() * 1000):013x}", caller or Caller()
        self.loops, self.stopping, self.said = set(), asyncio.Event(), {}
        self.metrics_port = None  # where figures are told; None: nowhere
        structlog.configure(
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(),
            ],
            logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        )
        logging.basicConfig(
            level=logging.ERROR, stream=sys.stdout, format='{"event":"library","why":"%(message)s"}'
        )
        self.log = structlog.get_logger().bind(node=self.settings.node, life=self.life)
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
                return read_settings(file.read())
        except (OSError, UnicodeDecodeError, GatewayError) as wrong:
            print(json.dumps({"event": "settings", "why": f"{self.path}: {wrong}"}), flush=True)
            raise SystemExit(2) from None

    def say(self, event, every=0.0, **more):
        """A line in the log, of one event at most once in `every` seconds."""
        now = self.clock()
        if now - self.said.get(event, -every) >= every:
            self.said[event] = now
            self.log.info(event, config=self.config_held(), **more)

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
                self.found([ip for ip, _ in read_settings(file.read()).seeds])
            self.say("settings read again")
        except (OSError, UnicodeDecodeError, GatewayError) as wrong:
            self.say("settings not taken", 5.0, why=str(wrong))

    def found(self, controllers):
        """Controllers that are told of."""

    def figures(self) -> Figures:
        """What this program tells of itself."""
        return Figures({}, {})

    async def open_metrics(self, server):
        """Opens the metrics address on a server that is open; without it where the address is taken."""
        if self.metrics_port is None:
            return
        try:
            await server.open([(self.settings.ip, self.metrics_port)])
        except OSError as wrong:
            self.say("no metrics address", port=self.metrics_port, why=str(wrong))
            self.metrics_port = None

    async def tell_figures(self, scope, send):
        """Answers a request at the metrics address."""
        if scope["path"] != METRICS_PATH:
            return await send_response(send, 404)
        await send_response(send, 200, [CONTENT_TYPE], render(self.figures()))

    def loop(self, step, every):
        """Runs `step` again and again, `every` seconds after it ended; what it raises is logged."""

        async def run():
            while True:
                try:
                    await step()
                except Exception as error:  # one turn's failure must not end a loop that others rely on
                    foreseen = isinstance(error, GatewayError)
                    self.say("loop failed", 1.0, step=step.__qualname__, why=repr(error), foreseen=foreseen)
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
