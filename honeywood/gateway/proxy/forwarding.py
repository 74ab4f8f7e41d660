"""A request's way: to a machine, to another where that may be, and back as one answer."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from honeywood.gateway.routing.answers import FAILED, GOOD, NOT_RUN, SILENT, SPOILT, may_pass, meaning
from honeywood.gateway.routing.attempts import Ask, connect_by
from honeywood.gateway.routing.balancer import choose
from honeywood.gateway.routing.routes import share_out
from honeywood.gateway.rpc.connection import Broken, Reply, end_to_end

HEDGE = 2.0  # usual answer times after which a repeatable request goes to a second machine as well
HEDGE_LEAST = 0.05  # seconds
AGAIN_S = 0.1  # seconds after which a refused client may come again
SPARE = 0.004  # seconds before its client gives up that a request is answered by us
READING_ON = "reading on"  # a try that is out still, after another request's answer
AFTER = 0.05  # seconds after that in which a machine's own late answer still frees its connection


@dataclass(slots=True)
class Answer:
    """What a client gets; `rest` is what follows a long body's start."""

    status: int
    headers: list
    body: bytes = b""
    rest: Any = None


def ours(status, why, again=None):
    """An answer of our own."""
    headers = [(b"x-gateway", why.encode())]
    if again is not None:
        headers.append((b"retry-after", b"%.3f" % again))
    return Answer(status, headers)


class Forwarder:
    """Carries requests. Its parts are handed in: the program's state, its gate and its links."""

    def __init__(self, clock, random, zone, endpoints, gate, stage, links, budget_of):
        self.clock, self.random, self.zone, self.endpoints = clock, random, zone, endpoints
        self.gate, self.stage, self.links, self.budget_of = gate, stage, links, budget_of
        self.counts = Counter()  # since the start: requests, further sends, answers by status, why no machine

    async def carry(self, route, method, target, headers, fields, body, left=lambda: False, arrived=None):
        """The Answer to a whole request: `target` with its raw escapes, `fields` a value of each header.
        `left` tells whether its client has gone: then nothing is begun any more; `arrived` when it was whole,
        if that was before now."""
        now = self.clock()
        taken = now if arrived is None else arrived
        try:
            wait = min(route.timeout, int(fields.get(b"x-deadline-ms", b"86400000")) / 1000)
        except ValueError:
            return ours(400, "x-deadline-ms is no number")
        ask = Ask(
            route,
            share_out(route.split, self.random.random()),
            fields.get(b"x-try-id", b""),
            taken,
            taken + wait,
            left=left,
        )
        self.budget_of(ask.service).request(now)
        self.stage.taking(ask)
        passed = [
            (name, value)
            for name, value in end_to_end(headers)
            if name not in (b"x-deadline-ms", b"x-want-instance", b"content-length", b"expect")
        ]
        passed.append(
            (b"content-length", str(len(body)).encode())
            if body or method not in (b"GET", b"HEAD")
            else (b"accept-encoding", b"identity")
        )
        answer = await self._tries(ask, method, target, passed, body)
        ask.done = True
        self.counts["requests"] += 1
        self.counts["further sends"] += max(0, len(ask.sends) - 1)
        self.counts[f"answered {answer.status}"] += 1
        return answer

    async def _tries(self, ask, method, target, headers, body):
        best = None
        tasks, loop = set(), asyncio.get_running_loop()
        while True:
            machine = self._choose(ask)
            if machine is not None:
                tasks.add(loop.create_task(self._send(ask, machine, method, target, headers, body)))
            if not tasks:
                return self._given_up(ask, best)
            until = ask.until - SPARE
            hedge = self.clock() + max(HEDGE_LEAST, HEDGE * self.endpoints.usual.get(ask.service, 1.0))
            second = ask.route.safe and len(tasks) == 1 and hedge < until and ask.route.tries > 1
            done, tasks = await asyncio.wait(
                tasks,
                timeout=max(0, (hedge if second else until) - self.clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                found, reply = task.result()
                if found == READING_ON:  # a repeatable request goes to another machine meanwhile
                    tasks.add(reply)
                if found == GOOD or found == FAILED and not ask.route.safe:
                    return self._pass(reply)
                if found == FAILED:
                    best = reply
            if not done and (self.clock() >= until or not second):
                return self._too_late(ask)

    def _choose(self, ask):
        now = self.clock()
        usual = self.endpoints.usual.get(ask.service, 1.0)
        for group in self.stage.groups(now, ask, self.endpoints.services.get(ask.service, ())):
            fit = [m for m in group if self.gate.bar(now, ask, m) is None]
            machine = choose(now, fit, self.zone, ask.had, usual, self.random)
            if machine is not None:
                return machine
        return None

    async def _send(self, ask, machine, method, target, headers, body):
        """(meaning, reply) of one machine's try, or READING_ON and the task that goes on with it."""
        clock, link, record = self.clock, None, None
        machine.began(clock())
        found, reply, follows = NOT_RUN, None, None
        try:
            while True:
                link, kept = self.links.idle(machine), True
                if link is None:
                    link, kept = await self.links.dial(machine, connect_by(clock(), ask)), False
                    if link is None:
                        machine.trouble(clock())
                        ask.unreached.append(machine)
                        return found, reply
                now = clock()
                if self.gate.bar(now, ask, machine, True) is not None:
                    return found, reply  # what changed while the connection came up counts
                record = self.gate.pass_on(now, ask, machine)
                left = max(1, int((ask.until - now) * 1000))
                told = [
                    *headers,
                    (b"x-deadline-ms", str(left).encode()),
                    (b"x-want-instance", machine.id.encode()),
                ]
                rested = now - link.idle_at
                reply = await link.exchange(
                    method, target, told, body, ask.until + AFTER, expected=(b"x-try-id", ask.try_id)
                )
                if not (kept and isinstance(reply, Broken) and not reply.sent):
                    break
                self.gate.unsend(ask, record)  # it ended while it rested: the machine has no part in that
                record = None
            if kept and isinstance(reply, Broken) and not reply.late:
                self.links.broke(machine, rested, clock() - now)
            if isinstance(reply, Reply) and reply.surplus:
                follows = self._read_on(ask, machine, link, record, now)
                return READING_ON, asyncio.get_running_loop().create_task(follows)
            found = self._judge(ask, machine, link, record, reply, now)
            return found, reply
        finally:
            if follows is None:
                self._ended(machine, link, record, reply)

    async def _read_on(self, ask, machine, link, record, sent_at):
        """(meaning, reply) of a try whose connection brought another request's answer first: its own may
        follow, since the machine has the request."""
        reply = None
        self.counts["surplus answers"] += 1
        machine.trouble(self.clock())
        try:
            reply = await link.read_on(ask.until + AFTER)
            while isinstance(reply, Reply) and reply.surplus:
                reply = await link.read_on(ask.until + AFTER)
            found = self._judge(ask, machine, link, record, reply, sent_at)
            self.counts["answers after a surplus one"] += found in (GOOD, FAILED, NOT_RUN)
            return found, reply
        finally:
            self._ended(machine, link, record, reply)

    def _judge(self, ask, machine, link, record, reply, sent_at):
        """What a try's last answer, or its end, means."""
        found = self._found(ask, machine, reply, self.clock() - sent_at)
        if found == SPOILT:  # what belongs to this request may still come, and must meet no other
            link.close()
        record[1] = found
        return found

    def _ended(self, machine, link, record, reply):
        """A try is over, however it ended."""
        if record is not None and record[1] is None:
            record[1] = SILENT
        machine.ended(self.clock(), reply is not None and not isinstance(reply, Broken))
        if link is not None and (reply is None or isinstance(reply, Broken) or reply.rest is None):
            self.links.back(machine, link)

    def _found(self, ask, machine, reply, took):
        now = self.clock()
        if isinstance(reply, Broken):
            found = SILENT if reply.sent else NOT_RUN
            if not reply.late:
                machine.trouble(now)
        else:
            found = meaning(reply.status, reply.fields, ask.try_id)
            self._load(now, machine, reply.fields.get(b"x-load"))
            if found in (GOOD, FAILED):
                self.endpoints.answered(now, machine, took)
            elif found == SPOILT or found == NOT_RUN:
                machine.trouble(now)
        self.stage.ended(now, ask, machine, found, took)
        return found

    def _load(self, now, machine, told):
        try:
            running, waiting, slots = (int(part) for part in told.split(b","))
        except (AttributeError, ValueError):
            return
        machine.slots = max(1, slots)
        machine.told(now, running - 1 if running else 0, waiting)

    def _pass(self, reply):
        if 300 > reply.status or may_pass(reply.status):
            headers = [
                (name, value) for name, value in end_to_end(reply.headers) if name != b"content-length"
            ]
            if reply.rest is not None and b"content-length" in reply.fields:
                headers.append((b"content-length", reply.fields[b"content-length"]))
            return Answer(reply.status, headers, reply.body, reply.rest)
        return ours(502, "the machine's answer makes no promise")

    def _too_late(self, ask):
        """Time is up: nothing of it is sent from here on, so what no machine got is promised not to run."""
        ask.done = True
        return ours(504, "time is up") if ask.may_have_run else ours(503, "no machine in time", AGAIN_S)

    def _given_up(self, ask, best):
        """The final answer where no machine may be asked any more."""
        if best is not None:
            return self._pass(best)
        if self.clock() >= ask.until - SPARE:
            return self._too_late(ask)
        if ask.may_have_run:
            return ours(502, "no whole answer came")
        now, machines = self.clock(), self.endpoints.services.get(ask.service, ())
        bars = Counter(self.gate.bar(now, ask, machine) or "left alone" for machine in machines)
        why = bars.most_common(1)[0][0] if bars else "none known"
        self.counts[f"no machine: {why}"] += 1
        return ours(503, f"no machine free: {why}", AGAIN_S)
