"""Controllers and proxies, the real programs, on one clock that jumps from event to event. Calls between them
cross a net that delays, cuts and loses; disks sync after a while, and what was being written when power
went is there or not."""

import asyncio
import json
import random
from collections import Counter
from contextvars import Context

from honeywood.gateway.configuration.outcome import Done, Failed, Wrong
from honeywood.gateway.controller.program import Controller
from honeywood.gateway.proxy.program import Proxy
from honeywood.lab.emulator.boot import BOUNDS, settings
from honeywood.lab.emulator.process import Loop, Process

OUTSIDE = "outside"  # clients, machines and operators, as one end of a cut


class Memory:
    """A disk of the world: what was put stays, unless it is wiped."""

    kept = None  # {folder: rows}, set by the world

    def __init__(self, folder):
        self.mine = self.kept.setdefault(folder, {})

    def rows(self):
        return dict(self.mine)

    def put(self, rows):
        self.mine.update(json.loads(json.dumps(rows)))
        for key in [key for key, row in rows.items() if row is None]:
            del self.mine[key]


class Wire:
    """The way of one node's calls."""

    def __init__(self, world, node):
        self.world, self.node, self.links, self.carried = world, node, {}, Counter()

    async def call(self, ip, port, path, body, within, again=False):
        answer = self.world.carry(self.node, ip, path, json.dumps(body), again)
        try:
            async with asyncio.timeout(within):
                return await answer
        except TimeoutError:
            return Failed(path, "silence", ip, 503)
        except Wrong as wrong:
            return wrong.failed


class World:
    """Programs by name: `controllers` a b c ..., `fronts` f g h ...; a name in no `zones` is in "z". What
    calls the system from outside is OUTSIDE in `cuts`, which are pairs (from, to)."""

    def __init__(self, controllers="abc", fronts="", seed=0, bear=1, zones=None, bounds=BOUNDS):
        self.loop, self.controllers, self.fronts, self.bear = Loop(), controllers, fronts, bear
        self.nodes, self.lives, self.disks, self.cuts, self.processes = {}, {}, {}, set(), {}
        self.zones, self.bounds, self.executors = zones or {}, bounds, {}
        self.random, self.delay, self.loss = random.Random(seed), 0.001, 0.0
        self.fresh, self.skew = True, {}  # seconds by which a node's time of day is off
        self.seeds, self.held, self.copies = {}, {}, 0.0  # a node's own seeds; its pace; share of calls twice
        self.gone = set()  # machines that were removed for good
        self.raised = []  # what handlers raised that nobody should
        self.rates, self.sent_at = {}, {}  # bytes a second that a node's link takes; when it is free again

    # programs
    def start(self, name):
        if name in self.gone:
            return
        seeds, zone = self.seeds.get(name, self.controllers[:3]), self.zones.get(name, "z")
        boot = settings(name, seeds, zone=zone, fresh=self.fresh, bear=self.bear, bounds=self.bounds)
        clock = self.loop.time
        given = boot, Wire(self, name), clock, lambda: 1e9 + clock() + self.skew.get(name, 0.0)
        kind, more = (
            (Controller, {"disk": self._disk()}) if name in self.controllers else (Proxy, self.more(name))
        )
        quiet = type("Quiet", (kind,), {"say": lambda *said, **more: None})
        program = quiet(*given, random=random.Random(self.random.random()), **more)
        self.lives[name] = self.lives.get(name, 0) + 1
        if name in self.controllers:
            self.loop.trouble[program.register.thread] = self.loop.trouble.pop(self.executors.get(name), 1.0)
            self.executors[name] = program.register.thread
        process = self.processes[name] = Process(self.loop, name)
        process.hold(self.held.get(name, 1.0))
        process.run(self._begin(name, program, self.lives[name]))

    def _disk(self):
        return type("Disk", (Memory,), {"kept": self.disks})

    def more(self, name):
        """What a front is handed besides."""
        return {}

    async def _begin(self, name, program, life):
        if name in self.controllers:
            await program.register.open()
        if self.lives[name] == life:  # not killed meanwhile
            self.nodes[name] = program
            program.begin()

    def kill(self, name):
        """Ends a program at once; what it was writing is there or not."""
        self.lives[name] = self.lives.get(name, 0) + 1
        self.nodes.pop(name, None)
        if name in self.executors:
            self.loop.power(self.executors[name], self.random.random)
        if name in self.processes:
            self.processes.pop(name).end()

    def wipe(self, name):
        self.kill(name)
        self.disks.pop(name, None)

    def hold(self, name, pace):
        """Freezes a program's process (FROZEN), slows it so many times, or lets it run (1.0); a start
        doesn't change that."""
        self.held[name] = pace
        if name in self.processes:
            self.processes[name].hold(pace)

    def disk(self, name, times):
        """A disk that is `times` as slow, refuses writes (None), or does them and refuses (SPOILT)."""
        self.loop.trouble[self.executors[name]] = times

    def cut(self, name, others):
        self.cuts |= {(name, other) for other in others} | {(other, name) for other in others}

    def join(self):
        self.cuts.clear()

    # the net; what is under way in it belongs to no process
    def carry(self, source, target, path, raw, again=True):
        """One call over the net: a future of Done; the answer may be lost though the call was not."""
        answer = self.loop.create_future()
        self.loop.create_task(self._carry(answer, source, target, path, raw, again), context=Context())
        return answer

    def _late(self, name, size):
        """Seconds until `size` bytes have left by a node's link."""
        if name not in self.rates:
            return 0.0
        now = self.loop.time()
        self.sent_at[name] = max(now, self.sent_at.get(name, 0.0)) + size / self.rates[name]
        return self.sent_at[name] - now

    def lost(self, source, target):
        return (source, target) in self.cuts or (self.loss and self.random.random() < self.loss)

    async def _carry(self, answer, source, target, path, raw, again=True):
        delay, life = self.delay * (1 + self.random.random()), self.lives.get(target)
        await asyncio.sleep(delay + self._late(source, len(raw)))
        if self.lost(source, target):
            return
        if again and self.copies and self.random.random() < self.copies:
            self.loop.create_task(self._copy(source, target, path, raw))
        process, node = self.processes.get(target), self.nodes.get(target)
        if node is None:
            if answer and not answer.done() and (process is None or process.pace == 1.0):
                answer.set_exception(Wrong(path, "refused", target, 503))
            return
        if target in self.controllers:
            work = node.app.ours["POST", path.strip("/")]("", raw.encode(), source)
        else:
            work = node.app.hear(raw.encode(), source)
        try:
            found, wrong = json.dumps(await process.run(work)), None
        except asyncio.CancelledError:
            return  # the process has ended
        except Exception as raised:
            found, wrong = "", raised
            if not isinstance(raised, Wrong):
                self.raised.append(raised)
                wrong = Wrong(path, repr(raised), target, 500)
        await asyncio.sleep(self.delay * (1 + self.random.random()) + self._late(target, len(found)))
        if answer is None or answer.done() or self.lost(target, source) or life != self.lives.get(target):
            return
        if wrong is None:
            answer.set_result(Done(json.loads(found)))
        else:
            answer.set_exception(wrong)

    async def _copy(self, source, target, path, raw):
        """A call that comes a second time, seconds later; nobody waits for its answer."""
        await asyncio.sleep(0.2 + 6.0 * self.random.random())
        await self._carry(None, source, target, path, raw, False)

    async def ask(self, name, call, of="", body=None, within=1.0, again=True):
        """An operator's or machine's call to one controller: (status, answer), status 0 without an answer."""
        raw = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        life, node = self.lives.get(name), self.nodes.get(name)
        if node is None:
            return 0, None
        if self.lost(OUTSIDE, name):
            await asyncio.sleep(within)
            return 0, None
        if again and self.copies and self.random.random() < self.copies:
            self.loop.create_task(self._ask_again(name, call, of, raw))
        work = self.processes[name].run(node.app.calls["POST", "v1", "rpc", call](of, raw, "op"))
        work.add_done_callback(self._look)
        await asyncio.wait((work,), timeout=within)  # what is given up goes on at the program
        if not work.done() or work.cancelled() or self.lost(name, OUTSIDE) or life != self.lives.get(name):
            return 0, None
        wrong = work.exception()
        if wrong is not None:
            return (wrong.failed.status, wrong.failed) if isinstance(wrong, Wrong) else (500, None)
        return 200, work.result()

    def _look(self, work):
        wrong = None if work.cancelled() else work.exception()
        if wrong is not None and not isinstance(wrong, Wrong):
            self.raised.append(wrong)

    async def _ask_again(self, name, call, of, raw):
        most = 1.6 if call == "rollouts.start" else 6.0  # those are sent for ack_s at most, copies too
        await asyncio.sleep(0.2 + most * self.random.random())
        await self.ask(name, call, of, raw, again=False)

    # looks
    def version(self, name):
        """The version a program holds; None where it holds none or is down."""
        program = self.nodes.get(name)
        if program is None:
            return None
        held = program.publisher.store.notes.get("config")
        return held[0][0] if held else None

    def state(self, name, id):
        held = self.nodes[name].publisher.store.get(f"machine/{id}")
        return held["state"] if held else "unknown"

    # time
    def run(self, until, after=lambda: None):
        """Lets time pass up to `until`; `after` is called every 50 ms."""

        async def pass_time():
            while self.loop.time() < until:
                await asyncio.sleep(min(0.05, max(0.0, until - self.loop.time())))
                after()

        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(pass_time())

    def close(self):
        for name in list(self.nodes):
            self.kill(name)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(self.loop.time() + 0.01)
        for task in asyncio.all_tasks(self.loop):  # those that waited for what has just ended
            task.cancel()
        self.run(self.loop.time() + 0.01)
        self.loop.close()
