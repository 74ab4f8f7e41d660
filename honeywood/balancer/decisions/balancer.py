"""All decisions of a front: which server an RPC goes to, when it goes again or is given up, and what the
front votes on the build on trial.

The host calls a Front as interface.Decisions lists. An RPC runs down a chain: Intake, Trial, Routing, Gate;
what comes back runs up. Judge looks at that and votes. Times are tenths of a millisecond.
"""

from collections import deque
from math import inf, sqrt
from random import Random

from honeywood.balancer.interface import (
    CANCELLED,
    CONNECT_FAILED,
    ERROR,
    GONE,
    LATE,
    MOOT,
    NO_SERVER,
    OK,
    OUT_OF_TIME,
    READY,
    SECOND,
    SPENT,
    TOO_MANY_OPEN,
)
from honeywood.balancer.decisions.send_policy import Gate, Stage, trimmed
from honeywood.balancer.decisions.release_verdict import Judge, LOOK, SOON
from honeywood.balancer.decisions.server_selection import COMES_BACK, RATE_OVER, REPEATS, Routing, SILENT
from honeywood.balancer.decisions.build_selection import Trial

# So many RPCs may be open as the rate answers in SOON of the soft deadline,
BORNE = 0.8  # but a small front's last answers were quick within this one,
LAG = 0.25  # and none is begun that waited for this front for this share of it;
HELD = 3  # or so many a server by all fronts together, if that is more
TAIL = 3  # mean times of answers after which one is overdue beyond chance (1 in 20)
COMING = 4  # and so many times more whose answers have begun: these hold no core
GAPS = 16  # gaps between RPCs that their mean goes back
ASK_EVERY = 3 * SECOND


class Intake(Stage):
    """Takes RPCs, holds or pushes back what cannot be served, and gives each its one final answer."""

    def __init__(self, front, below, given):
        super().__init__(front, below)
        self.max_wait, self.cancels = given.max_wait, given.may_cancel
        most = max(m.utility for m in given.methods) or 1
        self.rank = [0.75 + 0.25 * m.utility / most for m in given.methods]
        self.open, self.coming = [], 0  # RPCs that wait for an answer or a server; whose answer trickles
        self.gap, self.taken_at = SECOND, -inf  # mean time between RPCs taken
        self.answers, self.spare, self.quick, self.fronts = deque(), 1.0, 1.0, max(1, given.fronts)

    def take(self, now, rpc):
        method, gate = rpc.method, self.front.gate
        self.gap += (min(COMES_BACK, now - self.taken_at) - self.gap) / GAPS
        self.taken_at = now
        rpc.soft = min(rpc.deadline, rpc.taken + method.soft + int(method.soft_stretch * rpc.work))
        trimmed(gate.taken[gate.lane(method)], now - gate.window).append(rpc.taken)
        self.spare = min(10.0, self.spare + REPEATS)
        self.open.append(rpc)
        if late := now - rpc.taken > LAG * method.soft:  # and so would be those that wait behind it
            self.front.closed_until = now + LOOK
        why = LATE if late else TOO_MANY_OPEN if self.full(now, rpc) else NO_SERVER
        if why != NO_SERVER or not self.below.take(now, rpc):
            self.give_up(now, rpc, why)

    def end(self, now, rpc, badly):
        if not rpc.late:
            self.front.judge.fared(now, badly or now > rpc.taken + rpc.method.soft // 2)
        rpc.done = True
        self.open = [other for other in self.open if other is not rpc]
        for pick in rpc.picks if self.cancels else ():
            if pick.result is None:
                self.front.host.cancel(pick)

    def give_up(self, now, rpc, why):  # a pushback while the client may still gain by it, else an abort
        rpc.why = why
        self.end(now, rpc, True)
        if self.front.gate.may_push_back(rpc) and now < rpc.soft:
            soon = rpc.method.soft // 4 if now >= self.front.closed_until else self.max_wait
            self.front.host.push_back(rpc, min(self.max_wait, soon))
        else:
            self.front.host.abort(rpc)

    def back(self, now, pick, load, ended):
        rpc = pick.rpc
        self.below.back(now, pick, load)
        if pick.result in (OK, ERROR):
            self.answers.append(now)
        # Small fronts have no rate to go by, but each has its last answers.
        if pick.result != CANCELLED:
            self.quick += (pick.result == OK and pick.latency < BORNE * rpc.method.soft) / 4 - self.quick / 4
        if rpc.done:
            return None
        if ended or pick.result == OK:
            return self.end(now, rpc, pick.result != OK)
        if not any(p.result is None for p in rpc.picks):
            free = pick.result in (CONNECT_FAILED, MOOT)  # but a full server's RPCs: a jam feeds itself
            why = OUT_OF_TIME if now >= rpc.soft else NO_SERVER if free or self.spare >= 1 else SPENT
            if why == NO_SERVER and self.below.take(now, rpc):
                self.spare -= not free
            else:
                self.give_up(now, rpc, why)

    def full(self, now, rpc):
        """Whether more is open than can be answered in time (Little's law): against queues that jam."""
        soon = len(trimmed(self.answers, now - RATE_OVER)) * rpc.method.soft * SOON / RATE_OVER
        least = max(1 + 9 * self.quick, HELD * len(self.front.ready) / self.fronts, soon + 2 * sqrt(soon))
        return len(self.open) - min(self.coming, COMING * least) > least * self.rank[rpc.method.place]

    def look(self, now):
        # Heads that come just before their bodies tell nothing: their server may still be at work.
        self.coming = sum(rpc.begun is not None and now - rpc.begun >= LOOK for rpc in self.open)
        for rpc in list(self.open):
            out = [p for p in rpc.picks if p.result is None]
            late = [p for p in out if now - p.sent >= SOON * rpc.method.soft]
            for pick in late if not rpc.late else ():
                pick.latency, rpc.late = now - pick.sent, True
                self.front.judge.fared(now, True)
                self.front.judge.back(pick)
            # Against servers that fall silent: one more try elsewhere while it can still be in time.
            # A small front has one pick at a server: its silence tells first that the work is long.
            tail = TAIL * (self.front.routing.mean[rpc.method.place] or 0)
            if (
                len(late) == len(out) == 1
                and self.spare >= 1
                and now < rpc.soft
                and now - out[0].sent > tail
                and now - out[0].server.answered_at > SILENT // 2
            ):
                self.spare -= self.below.take(now, rpc)


class Front:
    """One front's decisions: the list, the chain and the judge, as interface.Decisions."""

    def __init__(self, settings, host):
        self.host, self.random, self.tap = host, Random(settings.seed), host.tap
        self.log, self.servers, self.ready, self.new, self.old = host.log, [], [], [], []
        self.mine, self.first = [], []  # servers of the newest build told of, by their starts, and in order
        self.judge, self.gate = Judge(self, settings), Gate(self, settings)
        self.routing = Routing(self, self.gate, settings)
        self.intake = Intake(self, Trial(self, self.routing), settings)
        self.news, self.take, self.found_wrong = self.judge.news, self.intake.take, self.judge.found_wrong
        self.tallied, self.start, self.probed = self.judge.tallied, self.woken, self.routing.probed
        self.must_ask, self.asked, self.watching, self.closed_until = settings.must_ask, False, False, -inf
        self.ask_at = -inf
        self.ask_every = min(ASK_EVERY, settings.ask_within // 3 or ASK_EVERY)

    def listed(self, now, lines, whole):
        for server, build, zone, cell, scale, status, booted in lines:
            if server.status in (None, GONE):
                self.servers.append(server)
            if server.status in (None, GONE) or booted != server.booted or build != server.build:
                # New, or back under its old id: what was seen of the earlier process says nothing.
                server.pace, server.failed, server.faded_at, server.shun_until = 1.0, 0.0, now, now
                server.reported, server.reported_at, server.open = 0.0, -inf, server.open or 0
                server.sent, server.answered_at, server.ill = deque(), now, False
            server.build, server.zone, server.cell, server.scale = build, zone, cell, scale
            server.status, server.booted = status, booted
        if whole:
            named = {line[0] for line in lines}
            for server in self.servers:
                server.status = server.status if server in named else GONE
        self.servers = [s for s in self.servers if s.status != GONE]
        self.watching = self.asked
        self.group()

    def group(self):
        """Groups are made where the list or the step changes, not for each RPC: fleets are large."""
        self.ready = sorted((s for s in self.servers if s.status == READY), key=lambda s: s.mark or 0)
        builds = dict.fromkeys(s.build for s in self.ready)
        new = {b: b in self.judge.bad or self.judge.cap_of(b) is not None for b in builds}
        for server in self.ready:
            server.trial = new[server.build]
        self.new, self.old = [s for s in self.ready if s.trial], [s for s in self.ready if not s.trial]
        self.first = [s for s in self.ready if s.build == self.judge.build]
        self.mine = sorted(self.first, key=lambda s: s.booted)

    def list_failed(self, now):
        # Fronts that were refused together must not come together again: the same few would be taken.
        self.watching, self.ask_at = False, now + int(self.ask_every * self.random.random())

    def back(self, now, pick, result, latency, load, ended):
        pick.result, pick.latency = result, latency
        self.intake.back(now, pick, load, ended)

    def begun(self, now, pick):
        """The first of an answer has come, and not yet the last."""
        pick.rpc.begun = pick.rpc.begun or now

    def started(self, now, pick):
        pick.rpc.done = True  # a stream is its client's from here on: no answer is owed
        self.intake.open = [rpc for rpc in self.intake.open if rpc is not pick.rpc]

    def left(self, now, rpc):
        if not rpc.done:
            self.intake.end(now, rpc, True)

    def woken(self, now):
        self.host.wake(LOOK)
        # Asked again only while the watch is not known to stand, so that the list is not flooded.
        if self.must_ask and not self.watching and now >= self.ask_at:
            self.asked, self.ask_at = True, now + self.ask_every
            self.host.watch()
        self.intake.look(now)
        self.judge.look(now)
