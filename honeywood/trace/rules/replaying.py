"""Replays recorded inputs through the current decision code and compares its decisions with the record."""

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
from honeywood.trace.rules.rpc_history import OUTCOME_TEXTS
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    ARRIVAL,
    ATTEMPT,
    CLIENT_DISCONNECTED,
    DROPPED,
    INCORRECT_ANSWER,
    KINDS,
    PLATFORM_COUNTS,
    PROBE,
    REJECTED,
    RELEASE_UPDATE,
    RESPONSE_STARTED,
    RESULT,
    SERVER_LIST,
    SERVER_LIST_FAILED,
    STARTED,
    TIMER,
    VOTE,
)

MAX_DESCRIPTIONS = 20  # differences that are described one by one


class Replayer:
    """The host of the decisions (interface.Host) for one run of a balancer.

    `settings` are the balancer's; `unix_start` is 1970 on its clock. Pass the run's records to `play` in
    their order.
    """

    observer = None

    def __init__(self, settings, unix_start):
        self.unix_start, self.methods = unix_start, {method.name: method for method in settings.methods}
        self.now, self.servers, self.rpcs = 0, {}, {}
        # Decisions of the replay that are not yet compared with the recorded ones.
        self.sends, self.answers, self.votes = {}, {}, deque()
        self.matches, self.differences, self.descriptions, self.inputs = Counter(), Counter(), [], 0
        self.saw_start, self.dropped_records = False, 0
        self.balancer = Balancer(settings, self)
        self.handlers = {
            ARRIVAL.number: self.replay_arrival,
            ATTEMPT.number: self.compare_attempt,
            RESULT.number: self.replay_result,
            ANSWER.number: self.compare_answer,
            CLIENT_DISCONNECTED.number: self.replay_disconnect,
            RELEASE_UPDATE.number: self.replay_release_update,
            SERVER_LIST.number: self.replay_server_list,
            VOTE.number: self.compare_vote,
            PLATFORM_COUNTS.number: self.replay_platform_counts,
            INCORRECT_ANSWER.number: self.replay_incorrect_answer,
            PROBE.number: self.replay_probe_result,
            TIMER.number: self.replay_timer,
            SERVER_LIST_FAILED.number: self.replay_server_list_failed,
            RESPONSE_STARTED.number: self.replay_response_started,
            DROPPED.number: self.count_dropped,
            STARTED.number: self.replay_start,
        }

    # Calls from the decisions.
    def send(self, attempt, until):
        self.sends[attempt.rpc.host, attempt.number] = attempt.server.host

    def reject(self, rpc, retry_after):
        self.answers[rpc.host] = REJECTED

    def abort(self, rpc):
        self.answers[rpc.host] = ABORTED

    def vote(self, build, step, verdict):
        self.votes.append((build, step, verdict))

    def ignored(self, *_):
        """Does nothing: the outcome of these calls is replayed from records."""

    cancel = probe = wake_after = watch_servers = log = ignored

    # Recorded calls.
    def play(self, record):
        """Replay an input or compare a recorded decision."""
        kind = KINDS[record.kind]
        self.inputs += kind.is_input
        self.now = record.time + self.unix_start
        if record.kind in self.handlers:
            self.handlers[record.kind](SimpleNamespace(**dict(zip(kind.positions, record.values))))

    def replay_start(self, fields):
        self.saw_start = True
        self.balancer.on_start(self.now)

    def count_dropped(self, fields):
        self.dropped_records += fields.records

    def replay_arrival(self, fields):
        if fields.method not in self.methods:
            return
        rpc = self.rpcs[fields.rpc] = Rpc(
            method=self.methods[fields.method],
            expected_work=fields.work,
            is_retry=bool(fields.repeat),
            arrived_at=self.now - fields.waited,
            deadline=self.now + fields.deadline,
            host=fields.rpc,
        )
        self.balancer.on_request(self.now, rpc)

    def compare_attempt(self, fields):
        if fields.rpc in self.rpcs:
            replayed = self.sends.pop((fields.rpc, fields.number), None)
            self.compare("pick", replayed, fields.server, f"RPC {fields.rpc} pick {fields.number}")

    def replay_result(self, fields):
        rpc = self.rpcs.get(fields.rpc)
        if rpc is None or fields.number >= len(rpc.attempts):
            return  # the replay made no such attempt: reported where its record was compared
        attempt = rpc.attempts[fields.number]
        if attempt.result is None:
            if fields.result == AttemptResult.OK and not rpc.done:
                self.answers[fields.rpc] = ANSWERED_OK
            final = fields.result == AttemptResult.OK or rpc.done
            self.balancer.on_result(
                self.now, attempt, AttemptResult(fields.result), fields.latency, fields.load, final
            )
        self.forget_if_finished(rpc)

    def replay_response_started(self, fields):
        rpc = self.rpcs.get(fields.rpc)
        if rpc and fields.number < len(rpc.attempts) and rpc.attempts[fields.number].result is None:
            self.balancer.on_response_started(self.now, rpc.attempts[fields.number])

    def compare_answer(self, fields):
        rpc = self.rpcs.get(fields.rpc)
        if rpc is None:
            return
        replayed = self.answers.pop(fields.rpc, None)
        self.compare(
            "answer",
            OUTCOME_TEXTS.get(replayed),
            OUTCOME_TEXTS.get(fields.outcome),
            f"RPC {fields.rpc} answer",
        )
        if not rpc.done:  # still open in the replay; in the record it and its attempts were over
            self.balancer.on_client_disconnected(self.now, rpc)
            for attempt in rpc.attempts:
                if attempt.result is None:
                    latency = self.now - attempt.sent_at
                    self.balancer.on_result(self.now, attempt, AttemptResult.CANCELLED, latency, (), True)
        self.forget_if_finished(rpc)

    def forget_if_finished(self, rpc):
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

    def replay_disconnect(self, fields):
        if rpc := self.rpcs.get(fields.rpc):
            self.balancer.on_client_disconnected(self.now, rpc)
            self.forget_if_finished(rpc)

    def replay_release_update(self, fields):
        counts = fields.result == AttemptResult.OK
        update = ReleaseUpdate(
            fields.build, fields.step, fields.cap, ReleaseState(fields.standing), fields.age
        )
        if fields.reply:
            self.balancer.on_vote_answered(self.now, update if counts else None)
        elif counts:
            self.balancer.on_release_update(self.now, update)

    def replay_server_list(self, fields):
        entries = []
        rows = zip(
            fields.servers,
            fields.builds,
            fields.zones,
            fields.cells,
            fields.scales,
            fields.statuses,
            fields.starts,
        )
        for name, build, zone, cell, scale, status, start in rows:
            server = self.servers.setdefault(name, Server(host=name, digest=digest(name)))
            status = ServerStatus(status)
            entries.append(ServerEntry(server, build, zone, cell, scale, status, start + self.unix_start))
            if status == ServerStatus.REMOVED:
                del self.servers[name]
        if fields.whole:
            self.servers = {name: self.servers[name] for name in fields.servers if name in self.servers}
        self.balancer.on_server_list(self.now, entries, bool(fields.whole))

    def replay_server_list_failed(self, fields):
        self.balancer.on_server_list_failed(self.now)

    def compare_vote(self, fields):
        replayed = self.votes.popleft() if self.votes else None
        self.compare("vote", replayed, (fields.build, fields.step, fields.verdict), f"vote at {self.now}")

    def replay_platform_counts(self, fields):
        if fields.method in self.methods:
            method = self.methods[fields.method]
            counts = PlatformCounts(
                fields.build, method, fields.failed, fields.ended, fields.mean, fields.age
            )
            self.balancer.on_platform_counts(self.now, counts)

    def replay_incorrect_answer(self, fields):
        if fields.server in self.servers and fields.method in self.methods:
            self.balancer.on_incorrect_answer(
                self.now, self.servers[fields.server], self.methods[fields.method]
            )

    def replay_probe_result(self, fields):
        if fields.server in self.servers:
            self.balancer.on_probe_result(
                self.now,
                self.servers[fields.server],
                AttemptResult(fields.result),
                fields.latency,
                fields.load,
            )

    def replay_timer(self, fields):
        self.balancer.on_timer(self.now)

    def compare(self, what, replayed, recorded, where):
        if replayed == recorded:
            self.matches[what] += 1
            return
        self.differences[what] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(
                f"{where}: {recorded if recorded is not None else 'none'} recorded, "
                f"{replayed if replayed is not None else 'none'} replayed"
            )

    def finish(self):
        """Compare the votes that only the replay made, after the last record; return the result."""
        while self.votes:
            self.compare("vote", self.votes.popleft(), None, "vote")
        return self.plain()

    def plain(self):
        """Return the result as JSON values."""
        return {
            "inputs": self.inputs,
            "same": dict(self.matches),
            "differ": dict(self.differences),
            "told": self.descriptions,
            "from_its_start": self.saw_start,
            "records_dropped": self.dropped_records,
            "exact": self.saw_start and not self.dropped_records,
        }
