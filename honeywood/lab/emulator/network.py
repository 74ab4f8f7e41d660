"""The network of a world: calls between programs, and from outside, that are delayed, cut, lost or doubled.

What is under way in it belongs to no process, and goes on when its sender ends.
"""

import asyncio
import json
import random
from collections import Counter
from contextvars import Context

from honeywood.gateway.controller.call import Call
from honeywood.gateway.errors import CallFailed, GatewayError
from honeywood.gateway.rpc.statuses import INTERNAL_ERROR, status_of

OUTSIDE = "outside"  # clients, machines and operators, as one end of a link
COPY_AFTER_S = 0.2  # seconds after which a copy of a call comes at the earliest
COPY_WITHIN_S = 6.0  # seconds by which copies may come later than that
ROLLOUT_COPY_WITHIN_S = 1.6  # of orders of rollouts, which are sent for ack_s at most, copies too


class Wire:
    """The way of one program's calls, as its Caller offers it."""

    def __init__(self, network, node):
        """`node` is the program that calls."""
        self.network, self.node, self.links, self.bytes_by_path = network, node, {}, Counter()

    async def call(self, ip, port, path, body, within, idempotent=False):
        """A call to a program at `ip`: its answer; raises CallFailed when `within` seconds have passed."""
        answer = self.network.carry(self.node, ip, path, json.dumps(body), idempotent)
        try:
            async with asyncio.timeout(within):
                return await answer
        except TimeoutError:
            raise CallFailed(path, "silence", ip) from None


class Network:
    """Links between programs. `cuts` are directed links, pairs (from, to), that carry nothing; an end may be
    OUTSIDE. `nodes`, `processes` and `lives` are the programs that run now, by name."""

    def __init__(self, loop, seed):
        """All chance of the network and of programs' starts is drawn from `seed`."""
        self.loop, self.random = loop, random.Random(seed)
        self.nodes, self.processes, self.lives = {}, {}, {}
        self.controllers = ()  # names; all others are proxies
        self.cuts, self.delay, self.loss = set(), 0.001, 0.0
        self.copies = 0.0  # share of calls that come twice
        self.rates, self.sent_at = {}, {}  # bytes a second that a node's link takes; when it is free again
        self.raised = []  # what handlers raised that nobody should

    def cut(self, name, others):
        """Cuts the links of a program with others, both ways."""
        self.cuts |= {(name, other) for other in others} | {(other, name) for other in others}

    def join(self):
        """Mends all cuts."""
        self.cuts.clear()

    def lost(self, source, target):
        """Whether what is sent now from one end to another is lost."""
        return (source, target) in self.cuts or (self.loss and self.random.random() < self.loss)

    def _queued_s(self, name, size):
        """Seconds until `size` bytes have left by a node's link."""
        if name not in self.rates:
            return 0.0
        now = self.loop.time()
        self.sent_at[name] = max(now, self.sent_at.get(name, 0.0)) + size / self.rates[name]
        return self.sent_at[name] - now

    def _doubled(self):
        return self.copies and self.random.random() < self.copies

    def carry(self, source, target, path, raw, again=True):
        """One call over the net: a future of its answer; the answer may be lost though the call was not.
        `again` says that it may come a second time."""
        answer = self.loop.create_future()
        self.loop.create_task(self._carry(answer, source, target, path, raw, again), context=Context())
        return answer

    async def _carry(self, answer, source, target, path, raw, again=True):
        delay, life = self.delay * (1 + self.random.random()), self.lives.get(target)
        await asyncio.sleep(delay + self._queued_s(source, len(raw)))
        if self.lost(source, target):
            return
        if again and self._doubled():
            self.loop.create_task(self._copy(source, target, path, raw))
        process, node = self.processes.get(target), self.nodes.get(target)
        if node is None:
            if answer and not answer.done() and (process is None or process.pace == 1.0):
                answer.set_exception(CallFailed(path, "refused", target))
            return
        try:
            found, wrong = json.dumps(await process.run(self._handler(node, target, path, raw, source))), None
        except asyncio.CancelledError:
            return  # the process has ended
        except Exception as raised:
            found, wrong = "", raised
            if not isinstance(raised, GatewayError):
                self.raised.append(raised)
                wrong = CallFailed(path, repr(raised), target)
        await asyncio.sleep(self.delay * (1 + self.random.random()) + self._queued_s(target, len(found)))
        if answer is None or answer.done() or self.lost(target, source) or life != self.lives.get(target):
            return
        if wrong is None:
            answer.set_result(json.loads(found))
        else:
            answer.set_exception(wrong)

    def _handler(self, node, target, path, raw, source):
        """What a program does with a call of another one."""
        if target in self.controllers:
            return node.app.internal_handlers[path](Call("", raw.encode(), source))
        return node.app.peers.answer_poll(raw.encode(), source)

    async def _copy(self, source, target, path, raw):
        """A call that comes a second time, seconds later; nobody waits for its answer."""
        await asyncio.sleep(COPY_AFTER_S + COPY_WITHIN_S * self.random.random())
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
        if again and self._doubled():
            self.loop.create_task(self._ask_again(name, call, of, raw))
        work = self.processes[name].run(node.app.operations.handlers[call](Call(of, raw, "op")))
        work.add_done_callback(self._note_raised)
        await asyncio.wait((work,), timeout=within)  # what is given up goes on at the program
        if not work.done() or work.cancelled() or self.lost(name, OUTSIDE) or life != self.lives.get(name):
            return 0, None
        wrong = work.exception()
        if wrong is not None:
            return (status_of(wrong), wrong) if isinstance(wrong, GatewayError) else (INTERNAL_ERROR, None)
        return 200, work.result()

    def _note_raised(self, work):
        wrong = None if work.cancelled() else work.exception()
        if wrong is not None and not isinstance(wrong, GatewayError):
            self.raised.append(wrong)

    async def _ask_again(self, name, call, of, raw):
        within_s = ROLLOUT_COPY_WITHIN_S if call == "rollouts.start" else COPY_WITHIN_S
        await asyncio.sleep(COPY_AFTER_S + within_s * self.random.random())
        await self.ask(name, call, of, raw, again=False)
