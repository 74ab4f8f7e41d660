"""The stall's program: what it wants to know, and the loops that bring it there."""
import asyncio
import time
from random import Random

from honeywood.system.cart.call import Caller
from honeywood.system.cart.door import Doors
from honeywood.system.crier.mouth import HOLD, Ear, Mouth
from honeywood.system.crier.ring import order
from honeywood.system.porter.budget import Budget
from honeywood.system.porter.gate import Gate
from honeywood.system.porter.roster import Roster
from honeywood.system.porter.routes import Table
from honeywood.system.program import Program
from honeywood.system.scales.stage import Stage
from honeywood.system.stall.app import App
from honeywood.system.stall.carry import Carrier
from honeywood.system.stall.links import Links
from honeywood.system.terms import config
from honeywood.system.terms.outcome import Wrong

TIDY = 0.5       # seconds between looks at idle connections
TOLD_IN = 2.2    # seconds in which the platform has noticed a front that isn't ready (two misses of 1 s)
SETTLE = 2.0     # seconds a front with a configuration waits for machines before it calls itself ready


class Stall(Program):
    def __init__(self):
        super().__init__()
        s, self.clock = self.settings, time.monotonic
        self.random, self.table, self.limits, self.config_at = Random(), None, config.Limits(), None
        self.roster = Roster()
        self.stage = Stage(self.roster, s.bounds["canary_share"], s.bounds["canary_slack"], self.fronts)
        self.budgets = {}
        self.links = Links(self.clock)
        self.gate = Gate(self.budget_of, self.fronts, self.stage)
        self.carrier = Carrier(self.clock, self.random, s.zone, self.roster, self.gate, self.stage, self.links,
                               self.budget_of)
        self.mouth, self.caller, self.tasks = Mouth(self.life, self.hear), Caller(), set()
        self.ear = Ear(self.mouth, self.caller, self.who, self.own)
        self.bourses, self.told = [ip for ip, _ in s.seeds], 0

    def start(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def budget_of(self, svc):
        if svc not in self.budgets:
            b = self.settings.bounds
            self.budgets[svc] = Budget(b["retry_ratio"], b["retry_slack"], b["retry_win_s"])
        return self.budgets[svc]

    def fronts(self):
        """How many fronts share what all may do together, as far as bourses have told."""
        return max([len(value) for _, value in self.mouth.board.under("fleet/")], default=1)

    # news
    def who(self):
        return {"node": self.settings.node, "ip": self.settings.ip, "zone": self.settings.zone, "life": self.life,
                "front": True}

    def own(self):
        self.told += 1
        left = {svc: [r["n"], self.stage.behind(svc)] for svc, r in self.stage.records.items()}
        return [[f"count/{self.settings.node}/{self.life}", [self.told],
                 {"rows": self.stage.told(), "left": left, "life": self.life}]]

    def hear(self, key, value):
        kind, _, name = key.partition("/")
        if kind == "config":
            self.table, self.config_at = Table(config.read(value.encode())), self.config_at or self.clock()
            self.limits = config.read(value.encode()).limits
            self.say("configuration", version=f"{self.table.version:08x}")
        elif kind == "machine":
            machine, left = self.roster.hear(self.clock(), name, value)
            if left and machine is not None:
                self.links.drop(machine)
        elif kind == "rollout":
            self.stage.hear(value)
        elif kind == "bourse" and name not in self.bourses:
            self.bourses.append(name)

    async def listen(self):
        """Asks a bourse for news, the one that falls to this front first."""
        for ip in order(self.bourses, self.settings.node):
            reply = await self.ear.ask(ip, self.settings.bourse_port, HOLD)
            if reply.ok:
                self.stage.heard_at = self.clock()
                return
        self.say("no bourse answers", 5.0)
        await asyncio.sleep(0.1)

    @property
    def ready(self):
        if self.stopping.is_set() or self.table is None:
            return False
        served = {svc for routes in self.table.hosts.values() for r in routes.values() for svc, _ in r.split}
        return served <= set(self.roster.services) or self.clock() - self.config_at > SETTLE

    async def tidy(self):
        self.links.tidy(self.roster.machines.values())

    async def run(self):
        s = self.settings
        doors = Doors(App(self), self.limits.idle_s)
        await doors.open([s.listen["http"], s.listen["ready"], (s.ip, s.stall_port)])
        self.say("started", role=s.role)
        self.loop(self.listen, 0.01)
        self.loop(self.tidy, TIDY)
        await self.until_stopped()
        self.say("stopping")
        await asyncio.sleep(TOLD_IN)
        await doors.close(s.bounds["grace_s"] - TOLD_IN - 0.5)
        self.say("stopped")
