"""Bourses and stalls, the real programs, on one clock that jumps from event to event. Calls between them
cross a net that delays, cuts and loses; disks sync after a while, and what was being written when power
went is there or not."""

import asyncio
import json
import random
from collections import Counter

from honeywood.lab.market.boot import BOUNDS, boot
from honeywood.system.bourse.program import Bourse
from honeywood.system.stall.program import Stall
from honeywood.system.terms.outcome import Done, Failed, Wrong
from honeywood.system.terms.settings import read

NEVER = 3600.0  # seconds: what was lost doesn't come within any day


class Jump:
    """A selector that waits for nothing: time passes at once."""

    def __init__(self, loop, selector):
        self.loop, self.selector = loop, selector

    def select(self, timeout):
        if timeout is None:
            raise RuntimeError("nothing will ever happen in this world")
        self.loop.now += max(0.0, timeout)
        return []

    def __getattr__(self, name):
        return getattr(self.selector, name)


class Loop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own. Work for threads is a disk's: it takes `sync_s` times what
    `trouble` says of its executor (None: it is refused)."""

    def __init__(self):
        super().__init__()
        self.now, self.sync_s, self._selector = 0.0, 0.002, Jump(self, self._selector)
        self.trouble, self.writing = {}, {}

    def time(self):
        return self.now

    def run_in_executor(self, executor, work, *given):
        done, times = self.create_future(), self.trouble.get(executor, 1.0)

        def run():
            if self.writing.pop(done, None) is None or done.done():
                return
            try:
                if times is None:
                    raise OSError("the disk takes no writes")
                done.set_result(work(*given))
            except Exception as wrong:
                done.set_exception(wrong)

        self.writing[done] = executor, work, given
        self.call_later(self.sync_s * (1.0 if times is None else times), run)
        return done

    def power(self, executor, chance):
        """What was being written by a process that ends: each there or not."""
        for done, (whose, work, given) in list(self.writing.items()):
            if whose is executor:
                del self.writing[done]
                if chance() < 0.5:
                    work(*given)


class Memory:
    """A disk of the world: what was put stays, unless it is wiped."""

    kept = None  # {folder: rows}, set by the world

    def __init__(self, folder):
        self.mine = self.kept.setdefault(folder, {})

    def rows(self):
        return dict(self.mine)

    def put(self, rows):
        self.mine.update(json.loads(json.dumps(rows)))


class Wire:
    """The way of one node's calls."""

    def __init__(self, world, node):
        self.world, self.node, self.links, self.carried = world, node, {}, Counter()

    async def call(self, ip, port, path, body, within):
        try:
            async with asyncio.timeout(within):
                return await self.world.carry(self.node, ip, path, json.dumps(body))
        except TimeoutError:
            return Failed(path, "silence", ip, 503)
        except Wrong as wrong:
            return wrong.failed


class World:
    """Programs by name: `bourses` a b c ..., `fronts` f g h ...; a name in no `zones` is in "z"."""

    def __init__(self, bourses="abc", fronts="", seed=0, bear=1, zones=None, bounds=BOUNDS):
        self.loop, self.bourses, self.fronts, self.bear = Loop(), bourses, fronts, bear
        self.nodes, self.lives, self.disks, self.cuts = {}, {}, {}, set()
        self.zones, self.bounds, self.executors = zones or {}, bounds, {}
        self.random, self.delay, self.loss = random.Random(seed), 0.001, 0.0
        self.fresh, self.skew = True, {}  # seconds by which a node's time of day is off

    # programs
    def start(self, name):
        seeds = [f"{bourse}:82" for bourse in self.bourses[:3]]
        zone = self.zones.get(name, "z")
        text = boot(name, zone, seeds, self.fresh, self.bear, bounds=self.bounds)
        clock = self.loop.time
        given = read(text), Wire(self, name), clock, lambda: 1e9 + clock() + self.skew.get(name, 0.0)
        kind, more = (Bourse, {"disk": self._disk()}) if name in self.bourses else (Stall, self.more(name))
        quiet = type("Quiet", (kind,), {"say": lambda *said, **more: None})
        program = quiet(*given, random=random.Random(self.random.random()), **more)
        self.lives[name] = self.lives.get(name, 0) + 1
        if name in self.bourses:
            self.loop.trouble[program.register.thread] = self.loop.trouble.pop(self.executors.get(name), 1.0)
            self.executors[name] = program.register.thread
        self.loop.create_task(self._begin(name, program, self.lives[name]))

    def _disk(self):
        return type("Disk", (Memory,), {"kept": self.disks})

    def more(self, name):
        """What a front is handed besides."""
        return {}

    async def _begin(self, name, program, life):
        if name in self.bourses:
            await program.register.open()
        if self.lives[name] == life:  # not killed meanwhile
            self.nodes[name] = program
            program.begin()

    def kill(self, name):
        """Ends a program at once; what it was writing is there or not."""
        self.lives[name] = self.lives.get(name, 0) + 1
        program = self.nodes.pop(name, None)
        for task in program.loops if program else ():
            task.cancel()
        if name in self.executors:
            self.loop.power(self.executors[name], self.random.random)

    def wipe(self, name):
        self.kill(name)
        self.disks.pop(name, None)

    def disk(self, name, times):
        """A disk that is `times` as slow, or refuses writes (None)."""
        self.loop.trouble[self.executors[name]] = times

    def cut(self, name, others):
        self.cuts |= {(name, other) for other in others} | {(other, name) for other in others}

    def join(self):
        self.cuts.clear()

    async def carry(self, source, target, path, raw):
        """One call over the net; the answer may be lost though the call was not."""
        await asyncio.sleep(self.delay * (1 + self.random.random()))
        life = self.lives.get(target), self.lives.get(source)
        if (source, target) in self.cuts or self.random.random() < self.loss:
            await asyncio.sleep(NEVER)
        if target not in self.nodes:
            raise Wrong(path, "refused", target, 503)
        app = self.nodes[target].app
        call = (
            app.ours["POST", path.strip("/")] if target in self.bourses else lambda of, *ask: app.hear(*ask)
        )
        found = await call("", raw.encode(), source)
        await asyncio.sleep(self.delay * (1 + self.random.random()))
        cut = (target, source) in self.cuts or self.random.random() < self.loss
        if cut or life != (self.lives.get(target), self.lives.get(source)) or target not in self.nodes:
            await asyncio.sleep(NEVER)
        return Done(json.loads(json.dumps(found)))

    async def ask(self, name, call, of="", body=None):
        """An operator's or machine's call to one bourse: (status, answer), status 0 without an answer."""
        raw = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        life = self.lives.get(name)
        try:
            async with asyncio.timeout(1.0):
                found = await self.nodes[name].app.calls["POST", "v1", "rpc", call](of, raw, "op")
                return (200, found) if life == self.lives.get(name) and name in self.nodes else (0, None)
        except KeyError:
            return 0, None
        except TimeoutError:
            return 0, None
        except Wrong as wrong:
            return wrong.failed.status, wrong.failed

    # looks
    def version(self, name):
        """The version a program holds; None where it holds none or is down."""
        program = self.nodes.get(name)
        if program is None:
            return None
        held = program.mouth.board.notes.get("config")
        return held[0][0] if held else None

    def state(self, name, id):
        held = self.nodes[name].mouth.board.get(f"machine/{id}")
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
        self.loop.close()
