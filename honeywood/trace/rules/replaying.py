"""Plays what a front was told into the decisions of today, and compares what they do with what was done
then."""
from collections import Counter, deque
from types import SimpleNamespace

from honeywood.balancer.decisions import balancer as decide
from honeywood.balancer.interface import CANCELLED, GONE, OK, Pick, Rpc, Server, mark
from honeywood.trace.rules.lives import OUTCOMES
from honeywood.trace.schema import (
    ABORTED, ANSWER, ANSWERED_OK, BEGAN, COMING, DROPPED, KINDS, LEFT, LIST, LIST_FAILED, LOOK, NEWS, PICK,
    PROBE, PUSHED_BACK, RESULT, TAKEN, TALLY, VOTE, WRONG)

MOST_TOLD = 20                 # differences that are told one by one


class Player:
    """The host of the decisions (interface.Host) for one run of one front: `settings`, and `unix_start`, the
    front's clock at 1970. `play` takes its records in their order."""

    tap = None

    def __init__(self, settings, unix_start):
        self.unix_start, self.methods = unix_start, {method.name: method for method in settings.methods}
        self.now, self.servers, self.rpcs = 0, {}, {}
        # Made now, and not yet held against the record.
        self.sends, self.answers, self.votes = {}, {}, deque()
        self.same, self.differ, self.told, self.inputs = Counter(), Counter(), [], 0
        self.began, self.dropped = False, 0
        self.front = decide.Front(settings, self)
        self.players = {
            TAKEN.number: self.taken, PICK.number: self.pick, RESULT.number: self.result,
            ANSWER.number: self.answer, LEFT.number: self.left, NEWS.number: self.news,
            LIST.number: self.list,
            VOTE.number: self.voted, TALLY.number: self.tally, WRONG.number: self.wrong,
            PROBE.number: self.probed, LOOK.number: self.look, LIST_FAILED.number: self.list_failed,
            COMING.number: self.coming, DROPPED.number: self.lost, BEGAN.number: self.start}

    # What the decisions ask.
    def send(self, pick: Pick, until):
        self.sends[pick.rpc.host, pick.number] = pick.server.host

    def push_back(self, rpc, wait):
        self.answers[rpc.host] = PUSHED_BACK

    def abort(self, rpc):
        self.answers[rpc.host] = ABORTED

    def vote(self, build, step, verdict):
        self.votes.append((build, step, verdict))

    def ignored(self, *_):
        """What the record tells the outcome of: calls back, probes, wakings, the list."""

    cancel = probe = wake = watch = log = ignored

    # What was recorded.
    def play(self, record):
        kind = KINDS[record.kind]
        self.inputs += kind.input
        self.now = record.time + self.unix_start
        if record.kind in self.players:
            self.players[record.kind](SimpleNamespace(**dict(zip(kind.at, record.values))))

    def start(self, got):
        self.began = True
        self.front.start(self.now)

    def lost(self, got):
        self.dropped += got.records

    def taken(self, got):
        if got.method not in self.methods:
            return
        rpc = self.rpcs[got.rpc] = Rpc(
            method=self.methods[got.method], customer=0, key=0, work=got.work, repeat=bool(got.repeat),
            taken=self.now - got.waited, picks=[], deadline=self.now + got.deadline, done=False, host=got.rpc)
        self.front.take(self.now, rpc)

    def pick(self, got):
        if got.rpc in self.rpcs:
            made = self.sends.pop((got.rpc, got.number), None)
            self.compare("pick", made, got.server, f"RPC {got.rpc} pick {got.number}")

    def result(self, got):
        rpc = self.rpcs.get(got.rpc)
        if rpc is None or got.number >= len(rpc.picks):
            return                 # not made today: told where the pick was recorded
        pick = rpc.picks[got.number]
        if pick.result is None:
            if got.result == OK and not rpc.done:
                self.answers[got.rpc] = ANSWERED_OK
            self.front.back(self.now, pick, got.result, got.latency, got.load, got.result == OK or rpc.done)
        self.let_go(rpc)

    def coming(self, got):
        rpc = self.rpcs.get(got.rpc)
        if rpc and got.number < len(rpc.picks) and rpc.picks[got.number].result is None:
            self.front.begun(self.now, rpc.picks[got.number])

    def answer(self, got):
        rpc = self.rpcs.get(got.rpc)
        if rpc is None:
            return
        made = self.answers.pop(got.rpc, None)
        self.compare("answer", OUTCOMES.get(made), OUTCOMES.get(got.outcome), f"RPC {got.rpc} answer")
        if not rpc.done:           # still open today: it was over then, and so are its picks
            self.front.left(self.now, rpc)
            for pick in rpc.picks:
                if pick.result is None:
                    self.front.back(self.now, pick, CANCELLED, self.now - pick.sent, (), True)
        self.let_go(rpc)

    def let_go(self, rpc):
        if rpc.done and all(pick.result is not None for pick in rpc.picks) and rpc.host not in self.answers:
            self.rpcs.pop(rpc.host, None)
            for pick in rpc.picks:
                if self.sends.pop((rpc.host, pick.number), None):
                    self.compare("pick", pick.server.host, None, f"RPC {rpc.host} pick {pick.number}")

    def left(self, got):
        if rpc := self.rpcs.get(got.rpc):
            self.front.left(self.now, rpc)
            self.let_go(rpc)

    def news(self, got):
        self.front.news(self.now, got.result, bool(got.reply), got.build, got.step, got.cap, got.standing,
                        got.age)

    def list(self, got):
        lines = []
        rows = zip(got.servers, got.builds, got.zones, got.cells, got.scales, got.statuses, got.starts)
        for name, build, zone, cell, scale, status, start in rows:
            server = self.servers.setdefault(name, Server(host=name, mark=mark(name)))
            lines.append((server, build, zone, cell, scale, status, start + self.unix_start))
            if status == GONE:
                del self.servers[name]
        if got.whole:
            self.servers = {name: self.servers[name] for name in got.servers if name in self.servers}
        self.front.listed(self.now, lines, bool(got.whole))

    def list_failed(self, got):
        self.front.list_failed(self.now)

    def voted(self, got):
        made = self.votes.popleft() if self.votes else None
        self.compare("vote", made, (got.build, got.step, got.verdict), f"vote at {self.now}")

    def tally(self, got):
        if got.method in self.methods:
            method = self.methods[got.method]
            self.front.tallied(self.now, got.build, method, got.failed, got.ended, got.mean, got.age)

    def wrong(self, got):
        if got.server in self.servers and got.method in self.methods:
            self.front.found_wrong(self.now, self.servers[got.server], self.methods[got.method])

    def probed(self, got):
        if got.server in self.servers:
            self.front.probed(self.now, self.servers[got.server], got.result, got.latency, got.load)

    def look(self, got):
        self.front.woken(self.now)

    def compare(self, what, made, recorded, where):
        if made == recorded:
            self.same[what] += 1
            return
        self.differ[what] += 1
        if len(self.told) < MOST_TOLD:
            self.told.append(f"{where}: {recorded if recorded is not None else 'none'} then, "
                             f"{made if made is not None else 'none'} by the decisions of today")

    def end(self):
        """After the last record: votes made today and not then."""
        while self.votes:
            self.compare("vote", self.votes.popleft(), None, "vote")
        return self.plain()

    def plain(self):
        return {"inputs": self.inputs, "same": dict(self.same), "differ": dict(self.differ),
                "told": self.told, "from_its_start": self.began, "records_dropped": self.dropped,
                "exact": self.began and not self.dropped}
