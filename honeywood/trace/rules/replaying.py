"""Plays what a front was told into the decisions of today, and compares what they do with what was done
then."""

from collections import Counter, deque
from types import SimpleNamespace

from honeywood.balancer.decisions.balancer import Balancer
from honeywood.balancer.model import (
    AttemptResult,
    PlatformCounts,
    ReleaseState,
    ReleaseUpdate,
    Rpc,
    Server,
    ServerEntry,
    ServerStatus,
    digest,
)
from honeywood.trace.rules.lives import OUTCOMES
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    BEGAN,
    COMING,
    DROPPED,
    KINDS,
    LEFT,
    LIST,
    LIST_FAILED,
    LOOK,
    NEWS,
    PICK,
    PROBE,
    PUSHED_BACK,
    RESULT,
    TAKEN,
    TALLY,
    VOTE,
    WRONG,
)

MOST_TOLD = 20  # differences that are told one by one


class Player:
    """The host of the decisions (interface.Host) for one run of one front: `settings`, and `unix_start`, the
    front's clock at 1970. `play` takes its records in their order."""

    observer = None

    def __init__(self, settings, unix_start):
        self.unix_start, self.methods = unix_start, {method.name: method for method in settings.methods}
        self.now, self.servers, self.rpcs = 0, {}, {}
        # Made now, and not yet held against the record.
        self.sends, self.answers, self.votes = {}, {}, deque()
        self.same, self.differ, self.told, self.inputs = Counter(), Counter(), [], 0
        self.began, self.dropped = False, 0
        self.balancer = Balancer(settings, self)
        self.players = {
            TAKEN.number: self.taken,
            PICK.number: self.pick,
            RESULT.number: self.result,
            ANSWER.number: self.answer,
            LEFT.number: self.left,
            NEWS.number: self.news,
            LIST.number: self.list,
            VOTE.number: self.voted,
            TALLY.number: self.tally,
            WRONG.number: self.wrong,
            PROBE.number: self.probed,
            LOOK.number: self.look,
            LIST_FAILED.number: self.list_failed,
            COMING.number: self.coming,
            DROPPED.number: self.lost,
            BEGAN.number: self.start,
        }

    # What the decisions ask.
    def send(self, attempt, until):
        self.sends[attempt.rpc.host, attempt.number] = attempt.server.host

    def reject(self, rpc, retry_after):
        self.answers[rpc.host] = PUSHED_BACK

    def abort(self, rpc):
        self.answers[rpc.host] = ABORTED

    def vote(self, build, step, verdict):
        self.votes.append((build, step, verdict))

    def ignored(self, *_):
        """What the record tells the outcome of: calls back, probes, wakings, the list."""

    cancel = probe = wake_after = watch_servers = log = ignored

    # What was recorded.
    def play(self, record):
        kind = KINDS[record.kind]
        self.inputs += kind.input
        self.now = record.time + self.unix_start
        if record.kind in self.players:
            self.players[record.kind](SimpleNamespace(**dict(zip(kind.at, record.values))))

    def start(self, got):
        self.began = True
        self.balancer.on_start(self.now)

    def lost(self, got):
        self.dropped += got.records

    def taken(self, got):
        if got.method not in self.methods:
            return
        rpc = self.rpcs[got.rpc] = Rpc(
            method=self.methods[got.method],
            expected_work=got.work,
            is_retry=bool(got.repeat),
            arrived_at=self.now - got.waited,
            deadline=self.now + got.deadline,
            host=got.rpc,
        )
        self.balancer.on_request(self.now, rpc)

    def pick(self, got):
        if got.rpc in self.rpcs:
            made = self.sends.pop((got.rpc, got.number), None)
            self.compare("pick", made, got.server, f"RPC {got.rpc} pick {got.number}")

    def result(self, got):
        rpc = self.rpcs.get(got.rpc)
        if rpc is None or got.number >= len(rpc.attempts):
            return  # not made today: told where the pick was recorded
        attempt = rpc.attempts[got.number]
        if attempt.result is None:
            if got.result == AttemptResult.OK and not rpc.done:
                self.answers[got.rpc] = ANSWERED_OK
            final = got.result == AttemptResult.OK or rpc.done
            self.balancer.on_result(
                self.now, attempt, AttemptResult(got.result), got.latency, got.load, final
            )
        self.let_go(rpc)

    def coming(self, got):
        rpc = self.rpcs.get(got.rpc)
        if rpc and got.number < len(rpc.attempts) and rpc.attempts[got.number].result is None:
            self.balancer.on_response_started(self.now, rpc.attempts[got.number])

    def answer(self, got):
        rpc = self.rpcs.get(got.rpc)
        if rpc is None:
            return
        made = self.answers.pop(got.rpc, None)
        self.compare("answer", OUTCOMES.get(made), OUTCOMES.get(got.outcome), f"RPC {got.rpc} answer")
        if not rpc.done:  # still open today: it was over then, and so are its picks
            self.balancer.on_client_disconnected(self.now, rpc)
            for attempt in rpc.attempts:
                if attempt.result is None:
                    latency = self.now - attempt.sent_at
                    self.balancer.on_result(self.now, attempt, AttemptResult.CANCELLED, latency, (), True)
        self.let_go(rpc)

    def let_go(self, rpc):
        if (
            rpc.done
            and all(attempt.result is not None for attempt in rpc.attempts)
            and rpc.host not in self.answers
        ):
            self.rpcs.pop(rpc.host, None)
            for attempt in rpc.attempts:
                if self.sends.pop((rpc.host, attempt.number), None):
                    where = f"RPC {rpc.host} pick {attempt.number}"
                    self.compare("pick", attempt.server.host, None, where)

    def left(self, got):
        if rpc := self.rpcs.get(got.rpc):
            self.balancer.on_client_disconnected(self.now, rpc)
            self.let_go(rpc)

    def news(self, got):
        counts = got.result == AttemptResult.OK
        update = ReleaseUpdate(got.build, got.step, got.cap, ReleaseState(got.standing), got.age)
        if got.reply:
            self.balancer.on_vote_answered(self.now, update if counts else None)
        elif counts:
            self.balancer.on_release_update(self.now, update)

    def list(self, got):
        lines = []
        rows = zip(got.servers, got.builds, got.zones, got.cells, got.scales, got.statuses, got.starts)
        for name, build, zone, cell, scale, status, start in rows:
            server = self.servers.setdefault(name, Server(host=name, digest=digest(name)))
            status = ServerStatus(status)
            lines.append(ServerEntry(server, build, zone, cell, scale, status, start + self.unix_start))
            if status == ServerStatus.REMOVED:
                del self.servers[name]
        if got.whole:
            self.servers = {name: self.servers[name] for name in got.servers if name in self.servers}
        self.balancer.on_server_list(self.now, lines, bool(got.whole))

    def list_failed(self, got):
        self.balancer.on_server_list_failed(self.now)

    def voted(self, got):
        made = self.votes.popleft() if self.votes else None
        self.compare("vote", made, (got.build, got.step, got.verdict), f"vote at {self.now}")

    def tally(self, got):
        if got.method in self.methods:
            method = self.methods[got.method]
            counts = PlatformCounts(got.build, method, got.failed, got.ended, got.mean, got.age)
            self.balancer.on_platform_counts(self.now, counts)

    def wrong(self, got):
        if got.server in self.servers and got.method in self.methods:
            self.balancer.on_incorrect_answer(self.now, self.servers[got.server], self.methods[got.method])

    def probed(self, got):
        if got.server in self.servers:
            self.balancer.on_probe_result(
                self.now, self.servers[got.server], AttemptResult(got.result), got.latency, got.load
            )

    def look(self, got):
        self.balancer.on_timer(self.now)

    def compare(self, what, made, recorded, where):
        if made == recorded:
            self.same[what] += 1
            return
        self.differ[what] += 1
        if len(self.told) < MOST_TOLD:
            self.told.append(
                f"{where}: {recorded if recorded is not None else 'none'} then, "
                f"{made if made is not None else 'none'} by the decisions of today"
            )

    def end(self):
        """After the last record: votes made today and not then."""
        while self.votes:
            self.compare("vote", self.votes.popleft(), None, "vote")
        return self.plain()

    def plain(self):
        return {
            "inputs": self.inputs,
            "same": dict(self.same),
            "differ": dict(self.differ),
            "told": self.told,
            "from_its_start": self.began,
            "records_dropped": self.dropped,
            "exact": self.began and not self.dropped,
        }
