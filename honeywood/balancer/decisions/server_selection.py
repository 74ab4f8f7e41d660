"""Which server of a build an RPC goes to. Times as in decide.py."""

from collections import deque
from math import isfinite

from honeywood.balancer.interface import (
    CANCELLED,
    CONNECT_FAILED,
    ERROR,
    FULL,
    OK,
    READY,
    RESET,
    SECOND,
    TIMEOUT,
    Bar,
)
from honeywood.balancer.decisions.send_policy import Stage

SILENT = 9 * SECOND // 10  # a server that holds picks and answers none for so long is left alone
SHUN = 2 * SECOND  # a server that could not be reached, is full or timed out is left alone for
PROBE_WORTH = 0.02  # a probe an RPC is not worth more, in points of utility as prices are told
REPORT_AGE, RATE_OVER = SECOND, 2 * SECOND  # for so long reports of servers count, and answers to a rate
FAILED_FADES, PACE_FADES = 7 * SECOND // 10, 7 * SECOND  # half is forgotten after this
REPEATS, DRAWN = 0.1, 6  # further picks earned by an RPC; servers drawn at most to find two fit ones
COMES_BACK, LEAST_KEPT = 5 * SECOND, 8  # a front keeps to as many servers as it meets again within this


class Routing(Stage):
    """Inside a build, the less busy of two random servers wins; sick ones are left out while others stand."""

    def __init__(self, front, below, settings):
        super().__init__(front, below)
        self.zone = settings.zone if settings.cross_price else None
        fields = settings.report_fields
        self.load_at = fields.index("active") if "active" in fields else None
        cheap = settings.may_probe and settings.probe_price <= PROBE_WORTH  # else all fronts pay for all
        self.probes, self.heard = cheap and self.load_at is not None, deque()
        self.turn = front.random.randrange(1 << 16)  # else all fronts probe the same server
        self.mean = [None] * len(settings.methods)
        inside = settings.me < settings.fronts
        self.start = settings.me / settings.fronts if inside else front.random.random()

    def held(self, now, server):
        past, server.faded_at = now - server.faded_at, now
        server.failed *= 0.5 ** (past / FAILED_FADES)
        server.pace += (1 - server.pace) * (1 - 0.5 ** (past / PACE_FADES))
        others = server.reported * (now - server.reported_at < REPORT_AGE)
        return server.open + others + server.failed + 1

    def kept(self, servers):
        """Those of them that a small front keeps to, as many as it meets again within COMES_BACK, since each
        pick would else need a new connection; where none is fit, the others follow. The parts of all fronts
        begin evenly spread over an order that is common to them, so that each server is in as many."""
        most = len(servers) / max(1, len(self.front.ready)) * COMES_BACK / max(1, self.front.intake.gap)
        most, start = max(LEAST_KEPT, int(most)), int(self.start * len(servers))
        return (servers[start:] + servers[:start])[:most] if most < len(servers) else ()

    def two(self, now, rpc, servers):
        """The less busy of two fit ones drawn, cold ones more seldom; all are asked where none is fit."""
        best, near, had = [], 0, [p.server for p in rpc.picks]
        draw, chance = self.front.random.sample, self.front.random.random
        few = servers and len(self.heard) < len(self.front.ready)
        fresh = dict.fromkeys(
            s for _, s in self.heard if few and s.status == READY and s.trial == servers[0].trial
        )
        drawn = draw(list(fresh), min(2, len(fresh)))
        for group in self.kept(servers), servers:
            drawn += draw(group, min(DRAWN, len(group)))
        for server in dict.fromkeys(drawn):
            silent = server.open and now - server.answered_at >= SILENT
            bar = (
                Bar.WARMING
                if chance() >= self.below.warmth(now, server)
                else Bar.LEFT_ALONE
                if now < server.shun_until
                else Bar.SILENT
                if silent
                else Bar.TRIED
                if server in had
                else self.below.bar(now, rpc, server)
            )
            if self.front.tap:
                self.front.tap.weighed(rpc, server, bar)
            if not bar:
                crossing = self.zone not in (None, server.zone)  # which costs: less busy by two then
                best.append((self.held(now, server) * server.pace + 2 * crossing, len(best), server))
                near += not crossing
            if near == 2:
                break
        if not best:
            bars = [self.below.bar(now, rpc, s) for s in servers]
            best = [(self.held(now, s), at, s) for at, (s, bar) in enumerate(zip(servers, bars)) if not bar]
            if self.front.tap:
                self.front.tap.asked_all(rpc, servers, bars)
        return min(best)[2] if best else None

    def take(self, now, rpc, first, second):
        """Sends to the first group, and to the second only if none of the first may be sent to."""
        while self.heard and self.heard[0][0] < now - REPORT_AGE:
            self.heard.popleft()
        # A probe an RPC at most: many small fronts that probe all would cost more than their RPCs.
        if self.probes and len(self.heard) < len(self.front.ready) and not rpc.picks:
            self.turn = (self.turn + 1) % len(self.front.ready)
            self.front.host.probe(self.front.ready[self.turn])
        one = self.two(now, rpc, first) or self.two(now, rpc, second)
        return one is not None and self.below.take(now, rpc, one)

    def probed(self, now, server, result, latency, load):
        if self.load_at is not None and len(load) > self.load_at and isfinite(load[self.load_at]):
            server.reported, server.reported_at = max(0.0, load[self.load_at] - server.open), now
            self.heard.append((now, server))

    def back(self, now, pick, load):
        self.below.back(now, pick)
        server, place = pick.server, pick.rpc.method.place
        self.probed(now, server, pick.result, pick.latency, load)
        # One alone says nothing of its server: the connection, the answer or the RPC may have been ill.
        ill = pick.result in (CONNECT_FAILED, RESET, TIMEOUT)
        if pick.result == FULL or (ill and server.ill):
            server.shun_until = now + SHUN
        if pick.result in (OK, ERROR):
            server.answered_at = now
        server.ill = ill or (server.ill and pick.result == CANCELLED)
        # A server that fails at once holds nothing and would draw all traffic: its failures count as held.
        server.failed += pick.result not in (OK, CANCELLED)
        if pick.result == OK:
            mean = self.mean[place] or max(1, pick.latency)
            self.mean[place] = mean + (pick.latency - mean) * 0.02
            server.pace += (min(10.0, pick.latency / mean) - server.pace) * 0.1
