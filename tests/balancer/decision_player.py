"""Plays scenario files: the decisions of one balancer against scripted servers, with checks of the outcome.

Everything after a # is a comment. MS is a time in milliseconds; the scenario runs until then before the line
is executed. A line is one of
    settings NAME VALUE ...         fields of Settings
    methods METHOD ...              each is name/idempotency/latency target/timeout/utility, times in ms
    MS settings NAME VALUE ...      settings of the balancer after a restart
    MS list a/1 b/1 c/2@MS d/1-     the complete server list: server/build, @ its start, - if it is draining
    MS change a/1 c/2               changes of the server list
    MS list_failed                  discovery refuses the list
    MS release BUILD STEP CAP [STATE [RESULT]]   the state of the release, ignored unless RESULT is ok
    MS vote_reply RESULT            how votes are answered from now on: ok, another result, or none
    MS respond PATTERN RESULT MS    from now on attempts that match PATTERN (server, /build, method or *) end
                                    with RESULT after MS. RESULT may be RESULT:N for every Nth attempt of a
                                    build, the others are ok. "none" means no response; "streamed" is ok with
                                    the start of the response at once
    MS rpc NAME METHOD [DEADLINE [KEY]]   one RPC
    MS queued_rpc NAME METHOD QUEUED      one RPC that was queued in this balancer for QUEUED ms
    MS load UNTIL INTERVAL METHOD [TENANT]   an RPC every INTERVAL ms
    MS incorrect SERVER METHOD N    the platform reports N incorrect answers
    MS platform_counts BUILD METHOD FAILED ENDED MEAN_LATENCY   the platform's counts until 1500 ms ago
    MS restart                      a new balancer without the state of the old one
    MS expect EXPRESSION            a Python expression over the names bound in DecisionPlayer.do_expect
"""

from heapq import heappop, heappush

from honeywood.balancer.decisions.balancer import Balancer
from honeywood.balancer.model import (
    UNKNOWN_START,
    AttemptResult,
    Exclusion,
    GiveUpReason,
    Idempotency,
    Method,
    PlatformCounts,
    ReleaseState,
    ReleaseUpdate,
    Rpc,
    Server,
    ServerEntry,
    ServerStatus,
    Vote,
)
from honeywood.balancer.settings import Settings

RESULTS = {
    "error": AttemptResult.ERROR,
    "ok": AttemptResult.OK,
    "streamed": AttemptResult.OK,
    "full": AttemptResult.FULL,
    "timeout": AttemptResult.TIMEOUT,
    "connect_failed": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "expired": AttemptResult.EXPIRED,
}
MS = 10


class DecisionPlayer:
    """The host of one balancer's decisions (interface.Host) and their observer, with a simulated clock."""

    def __init__(self):
        self.settings_values = dict(
            seed=7,
            clock_resolution=50,
            zone=0,
            balancers=2,
            balancer_index=0,
            max_attempts=4,
            may_duplicate=True,
            may_cancel=True,
            may_probe=False,
            max_retry_after=10000,
            list_on_request=False,
            list_request_window=100000,
            initial_capacity_share=0.4,
            warm_up_time=40000,
            overload_multiple=2.5,
            overload_window=20000,
            load_report_fields=(),
            cross_zone_price=0.0,
            probe_price=0.0,
            caps=[0.1, 0.5, 1.0],
            waves=[0.1, 0.4, 1.0],
            exposure_allowance=2,
            exposure_window=30000,
            exposure_per_method=False,
            idempotent_only_steps=0,
            no_downgrade=False,
            vote_rule="any",
            rollback_votes=1,
            proceed_votes=1,
            vote_ttl=60000,
            vote_timeout=12000,
            platform_counts_period=0,
        )
        self.methods, self.servers, self.rpcs, self.responses = {}, {}, {}, []
        self.queue, self.order, self.now = [], 0, 0
        self.sends, self.votes, self.rejected, self.aborted, self.list_requests = [], [], [], [], 0
        self.balancer, self.vote_reply, self.log_lines, self.probes = None, "ok", [], 0
        self.observer, self.exclusions, self.test_results = self, {}, []

    # Calls by the decisions (interface.Host).
    def send(self, attempt, until):
        self.sends.append(attempt)
        assert (
            sum(a.result is None for a in attempt.rpc.attempts) == 1 or self.settings_values["may_duplicate"]
        )
        for pattern, result, delay in reversed(self.responses):
            names = (
                self.name_of(attempt.server),
                f"/{attempt.server.build}",
                self.method_of(attempt.rpc),
                "*",
            )
            if pattern in names:
                outcome, _, interval = result.partition(":")
                is_selected = (
                    sum(a.server.build == attempt.server.build for a in self.sends) % int(interval or 1) == 0
                )
                if outcome == "streamed":
                    self.schedule(1, lambda a: self.balancer.on_response_started(self.now, a), attempt)
                if outcome != "none" or not is_selected:
                    return self.schedule(
                        delay, self.end_attempt, attempt, RESULTS[outcome if is_selected else "ok"], delay
                    )
                break
        self.schedule(until - self.now, self.end_attempt, attempt, AttemptResult.TIMEOUT, until - self.now)

    def reject(self, rpc, retry_after):
        assert rpc not in self.rejected + self.aborted, "two final answers"
        self.rejected.append(rpc)

    def abort(self, rpc):
        assert rpc not in self.rejected + self.aborted, "two final answers"
        self.aborted.append(rpc)

    def cancel(self, attempt):
        self.schedule(1, self.end_attempt, attempt, AttemptResult.CANCELLED, 1)

    def probe(self, server):
        self.probes += 1

    def wake_after(self, delay):
        balancer = self.balancer
        self.schedule(delay, lambda: balancer.on_timer(self.now) if balancer is self.balancer else None)

    def vote(self, build, step, vote):
        self.votes.append((build, step, vote))
        if self.vote_reply != "none":
            self.schedule(
                500,
                lambda: self.balancer.on_vote_answered(
                    self.now, ReleaseUpdate(build, *self.release_state) if self.vote_reply == "ok" else None
                ),
            )

    def watch_servers(self):
        self.list_requests += 1

    def log(self, text):
        self.log_lines.append(text)

    # Reasons for decisions (interface.Observer).
    def considered(self, rpc, server, exclusion):
        self.exclusions.setdefault(id(rpc), []).append((self.name_of(server), exclusion))

    def considered_all(self, rpc, servers, exclusions):
        for server, exclusion in zip(servers, exclusions):
            self.considered(rpc, server, exclusion)

    def tested(self, now, results):
        self.test_results = results

    # Scheduling of events, and the commands of a scenario.
    def schedule(self, delay, call, *arguments):
        self.order += 1
        heappush(self.queue, (self.now + max(1, int(delay)), self.order, call, arguments))

    def run_until(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, arguments = heappop(self.queue)
            call(*arguments)
        self.now = until

    def end_attempt(self, attempt, result, latency):
        if attempt.result is None:
            final = result == AttemptResult.OK or attempt.rpc.done
            self.balancer.on_result(self.now, attempt, result, latency, (), final)

    def name_of(self, server):
        return next(n for n, s in self.servers.items() if s is server)

    def method_of(self, rpc):
        return next(n for n, m in self.methods.items() if m is rpc.method)

    def execute(self, first, *words):
        if first == "settings":
            self.do_settings(*words)
        elif first == "methods":
            for index, (name, idempotency, latency_target, timeout, utility) in enumerate(
                w.split("/") for w in words
            ):
                self.methods[name] = Method(
                    idempotency=Idempotency(idempotency),
                    latency_target=int(latency_target) * MS,
                    target_per_work=0,
                    timeout=int(timeout) * MS,
                    index=index,
                    utility=float(utility),
                    overdue_utility=0,
                    dedup_scope="all",
                    dedup_window=80000,
                )
        else:
            until = int(first) * MS
            if self.balancer is None:
                self.start()
            self.run_until(until)
            getattr(self, "do_" + words[0])(*words[1:])

    def start(self):
        settings = Settings(methods=list(self.methods.values()), **self.settings_values)
        self.balancer = Balancer(settings, self)
        self.balancer.on_start(self.now)

    def do_settings(self, *words):
        for name, value in zip(words[::2], words[1::2]):
            self.settings_values[name] = eval(value)

    def do_list(self, *words, complete=True):
        entries = []
        for word in words:
            name, _, rest = word.partition("/")
            build, _, start = rest.rstrip("-").partition("@")
            server = self.servers.setdefault(name, Server())
            started_at = int(start) * MS if start else UNKNOWN_START
            status = ServerStatus.DRAINING if "-" in rest else ServerStatus.READY
            entries.append(ServerEntry(server, int(build), 0, 0, 1.0, status, started_at))
        self.balancer.on_server_list(self.now, entries, complete)

    def do_change(self, *words):
        self.do_list(*words, complete=False)

    def do_list_failed(self):
        self.balancer.on_server_list_failed(self.now)

    def do_release(self, build, step, cap, state="0", result="ok"):
        self.release_state = (int(step), float(cap), ReleaseState(int(state)), 0)
        if result == "ok":
            self.balancer.on_release_update(self.now, ReleaseUpdate(int(build), *self.release_state))

    def do_vote_reply(self, result):
        self.vote_reply = result

    def do_respond(self, pattern, result, delay):
        self.responses.append((pattern, result, int(delay) * MS))

    def do_incorrect(self, server, method, count):
        for _ in range(int(count)):
            self.balancer.on_incorrect_answer(self.now, self.servers[server], self.methods[method])

    def do_platform_counts(self, build, method, failed, ended, mean_latency):
        counts = int(failed), int(ended), int(mean_latency) * MS
        platform_counts = PlatformCounts(int(build), self.methods[method], *counts, 1500 * MS)
        self.balancer.on_platform_counts(self.now, platform_counts)

    def do_rpc(self, name, method, deadline=None, key=None, tenant=0, queued=0):
        rpc_method, arrived_at = self.methods[method], self.now - int(queued) * MS
        rpc = self.rpcs[name] = Rpc(
            method=rpc_method,
            tenant=tenant,
            key=int(key or len(self.rpcs) + 1000),
            arrived_at=arrived_at,
            deadline=arrived_at + (int(deadline) * MS if deadline else rpc_method.timeout),
        )
        self.balancer.on_request(self.now, rpc)

    def do_queued_rpc(self, name, method, queued):
        self.do_rpc(name, method, queued=queued)

    def do_load(self, until, interval, method, tenant=0):
        for at in range(self.now, int(until) * MS, int(interval) * MS):
            name = f"{method}{at}{interval}"
            self.schedule(at - self.now, lambda n: self.do_rpc(n, method, tenant=int(tenant)), name)

    def do_restart(self):
        for server in self.servers.values():
            server.status, server.in_flight = ServerStatus.REMOVED, 0
        self.rpcs, self.queue = {}, []
        self.start()

    def do_expect(self, *words):
        names = dict(
            rejections=len(self.rejected),
            votes=self.votes,
            release=self.balancer.release,
            list_requests=self.list_requests,
            log=self.log_lines,
            probes=self.probes,
            rejections_of=[sum(r.tenant == c for r in self.rejected) for c in (0, 1)],
            servers_of=lambda n: [self.name_of(a.server) for a in self.rpcs[n].attempts],
            rejects_connections=lambda: self.balancer.reject_connections_until > self.now,
            rejected=lambda n: self.rpcs[n] in self.rejected,
            aborted=lambda n: self.rpcs[n] in self.aborted,
            exclusions=lambda n: dict(self.exclusions.get(id(self.rpcs[n]), ())),
            Exclusion=Exclusion,
            GiveUpReason=GiveUpReason,
            Vote=Vote,
            give_up_reason=lambda n: self.rpcs[n].give_up_reason,
            test_results=self.test_results,
            ended=lambda n: self.rpcs[n].done,
            sent=self.sent,
            most_sent=self.most_sent,
            open_rpcs=[n for n, r in self.rpcs.items() if not r.done],
        )
        text = " ".join(words)
        assert eval(
            text, names
        ), f"at {self.now // MS} ms: {text}; votes {self.votes[-4:]}, log {self.log_lines}"

    def sent(self, target, since=0, method=None):
        """The number of attempts that a server or a /build got since a time in ms."""
        return sum(
            a.sent_at >= since * MS
            and target in (self.name_of(a.server), f"/{a.build}")
            and method in (None, self.method_of(a.rpc))
            for a in self.sends
        )

    def most_sent(self, target, window):
        """The largest number of attempts that a server or a /build got in any window of this length in ms."""
        times = [a.sent_at for a in self.sends if target in (self.name_of(a.server), f"/{a.build}")]
        return max((sum(t <= u <= t + window * MS for u in times) for t in times), default=0)


def play(path):
    player = DecisionPlayer()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = text.split("#")[0].split()
        if words:
            try:
                player.execute(*words)
            except Exception as error:
                raise AssertionError(f"{path.name}:{number}: {text}: {error}") from error
