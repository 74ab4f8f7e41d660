"""Plays scenario files: a balancer's decisions, answers that follow a script, and what must have come of it.

A line is one of
    given NAME VALUE ...            settings; methods are listed as name=kind/soft/deadline/utility (ms)
    MS given NAME VALUE ...         those of a restart
    MS list a/1 b/1 c/2@MS d/1-     the whole list: server/build, @ its start, - draining
    MS change a/1 c/2               changes only
    MS news BUILD STEP CAP [STANDING] [stale]
    MS answer PATTERN RESULT MS     from now on picks matching PATTERN (server, /build or method) end so;
                                    RESULT may be OTHER:N for every Nth, ok else; "never" leaves
                                    them out; "trickled" is ok, and the first of it comes at once
    MS rpc NAME METHOD [DEADLINE [KEY]]   one RPC
    MS waited NAME METHOD WAITED    one that has waited for the front for so long
    MS flow UNTIL EVERY METHOD [CUSTOMER]   a stream of them
    MS wrong SERVER METHOD N        so many wrong answers are reported
    MS tally BUILD METHOD FAILED ENDED MS   what the platform counted until 1500 ms ago
    MS restart                      a new front with the last list
    MS expect WHAT                  a Python expression over the names bound in DecisionPlayer.do_expect
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
    "trickled": AttemptResult.OK,
    "full": AttemptResult.FULL,
    "timeout": AttemptResult.TIMEOUT,
    "unconnected": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "moot": AttemptResult.EXPIRED,
}
MS = 10


class DecisionPlayer:
    """The host of one balancer's decisions (interface.Host) and their observer, on a clock of its own."""

    def __init__(self):
        self.given = dict(
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
        self.methods, self.servers, self.rpcs, self.answers = {}, {}, {}, []
        self.queue, self.order, self.now = [], 0, 0
        self.sends, self.votes, self.pushed, self.aborted, self.watches = [], [], [], [], 0
        self.balancer, self.reply, self.lines, self.probes = None, "ok", [], 0
        self.observer, self.excluded, self.found = self, {}, []

    # What the decisions ask of their host.
    def send(self, attempt, until):
        self.sends.append(attempt)
        assert sum(a.result is None for a in attempt.rpc.attempts) == 1 or self.given["may_duplicate"]
        for pattern, result, after in reversed(self.answers):
            names = (self.name(attempt.server), f"/{attempt.server.build}", self.method(attempt.rpc), "*")
            if pattern in names:
                kind, _, every = result.partition(":")
                picked = (
                    sum(a.server.build == attempt.server.build for a in self.sends) % int(every or 1) == 0
                )
                if kind == "trickled":
                    self.at(1, lambda a: self.balancer.on_response_started(self.now, a), attempt)
                if kind != "never" or not picked:
                    return self.at(after, self.end, attempt, RESULTS[kind if picked else "ok"], after)
                break
        self.at(until - self.now, self.end, attempt, AttemptResult.TIMEOUT, until - self.now)

    def reject(self, rpc, retry_after):
        assert rpc not in self.pushed + self.aborted, "two final answers"
        self.pushed.append(rpc)

    def abort(self, rpc):
        assert rpc not in self.pushed + self.aborted, "two final answers"
        self.aborted.append(rpc)

    def cancel(self, attempt):
        self.at(1, self.end, attempt, AttemptResult.CANCELLED, 1)

    def probe(self, server):
        self.probes += 1

    def wake_after(self, delay):
        balancer = self.balancer
        self.at(delay, lambda: balancer.on_timer(self.now) if balancer is self.balancer else None)

    def vote(self, build, step, vote):
        self.votes.append((build, step, vote))
        if self.reply != "never":
            self.at(
                500,
                lambda: self.balancer.on_vote_answered(
                    self.now, ReleaseUpdate(build, *self.stands) if self.reply == "ok" else None
                ),
            )

    def watch_servers(self):
        self.watches += 1

    def log(self, text):
        self.lines.append(text)

    # What the decisions tell of their reasons (interface.Observer).
    def considered(self, rpc, server, exclusion):
        self.excluded.setdefault(id(rpc), []).append((self.name(server), exclusion))

    def considered_all(self, rpc, servers, exclusions):
        for server, exclusion in zip(servers, exclusions):
            self.considered(rpc, server, exclusion)

    def tested(self, now, results):
        self.found = results

    # The script's side.
    def at(self, after, call, *values):
        self.order += 1
        heappush(self.queue, (self.now + max(1, int(after)), self.order, call, values))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, values = heappop(self.queue)
            call(*values)
        self.now = until

    def end(self, attempt, result, latency):
        if attempt.result is None:
            final = result == AttemptResult.OK or attempt.rpc.done
            self.balancer.on_result(self.now, attempt, result, latency, (), final)

    def name(self, server):
        return next(n for n, s in self.servers.items() if s is server)

    def method(self, rpc):
        return next(n for n, m in self.methods.items() if m is rpc.method)

    def line(self, verb, *words):
        if verb == "given":
            self.do_given(*words)
        elif verb == "methods":
            for place, (name, kind, soft, deadline, utility) in enumerate(w.split("/") for w in words):
                self.methods[name] = Method(
                    idempotency=Idempotency(kind),
                    latency_target=int(soft) * MS,
                    target_per_work=0,
                    timeout=int(deadline) * MS,
                    index=place,
                    utility=float(utility),
                    overdue_utility=0,
                    dedup_scope="all",
                    dedup_window=80000,
                )
        else:
            until = int(verb) * MS
            if self.balancer is None:
                self.start()
            self.run(until)
            getattr(self, "do_" + words[0])(*words[1:])

    def start(self):
        settings = Settings(methods=list(self.methods.values()), **self.given)
        self.balancer = Balancer(settings, self)
        self.balancer.on_start(self.now)

    def do_given(self, *words):
        for name, value in zip(words[::2], words[1::2]):
            self.given[name] = eval(value)

    def do_list(self, *words, whole=True):
        lines = []
        for word in words:
            name, _, rest = word.partition("/")
            build, _, boot = rest.rstrip("-").partition("@")
            server = self.servers.setdefault(name, Server())
            booted = int(boot) * MS if boot else UNKNOWN_START
            status = ServerStatus.DRAINING if "-" in rest else ServerStatus.READY
            lines.append(ServerEntry(server, int(build), 0, 0, 1.0, status, booted))
        self.balancer.on_server_list(self.now, lines, whole)

    def do_change(self, *words):
        self.do_list(*words, whole=False)

    def do_failed(self):
        self.balancer.on_server_list_failed(self.now)

    def do_news(self, build, step, cap, standing="0", result="ok"):
        self.stands = (int(step), float(cap), ReleaseState(int(standing)), 0)
        if result == "ok":
            self.balancer.on_release_update(self.now, ReleaseUpdate(int(build), *self.stands))

    def do_replies(self, result):
        self.reply = result

    def do_answer(self, pattern, result, after):
        self.answers.append((pattern, result, int(after) * MS))

    def do_wrong(self, server, method, times):
        for _ in range(int(times)):
            self.balancer.on_incorrect_answer(self.now, self.servers[server], self.methods[method])

    def do_tally(self, build, method, failed, ended, mean):
        counts = int(failed), int(ended), int(mean) * MS
        told = PlatformCounts(int(build), self.methods[method], *counts, 1500 * MS)
        self.balancer.on_platform_counts(self.now, told)

    def do_rpc(self, name, method, deadline=None, key=None, customer=0, waited=0):
        kind, taken = self.methods[method], self.now - int(waited) * MS
        rpc = self.rpcs[name] = Rpc(
            method=kind,
            tenant=customer,
            key=int(key or len(self.rpcs) + 1000),
            arrived_at=taken,
            deadline=taken + (int(deadline) * MS if deadline else kind.timeout),
        )
        self.balancer.on_request(self.now, rpc)

    def do_waited(self, name, method, waited):
        self.do_rpc(name, method, waited=waited)

    def do_flow(self, until, every, method, customer=0):
        for at in range(self.now, int(until) * MS, int(every) * MS):
            name = f"{method}{at}{every}"
            self.at(at - self.now, lambda n: self.do_rpc(n, method, customer=int(customer)), name)

    def do_restart(self):
        for server in self.servers.values():
            server.status, server.in_flight = ServerStatus.REMOVED, 0
        self.rpcs, self.queue = {}, []
        self.start()

    def do_expect(self, *words):
        names = dict(
            pushes=len(self.pushed),
            votes=self.votes,
            release=self.balancer.release,
            watches=self.watches,
            log=self.lines,
            probes=self.probes,
            pushes_of=[sum(r.tenant == c for r in self.pushed) for c in (0, 1)],
            on=lambda n: [self.name(p.server) for p in self.rpcs[n].attempts],
            closed=lambda: self.balancer.reject_connections_until > self.now,
            pushed=lambda n: self.rpcs[n] in self.pushed,
            aborted=lambda n: self.rpcs[n] in self.aborted,
            exclusions=lambda n: dict(self.excluded.get(id(self.rpcs[n]), ())),
            Exclusion=Exclusion,
            GiveUpReason=GiveUpReason,
            Vote=Vote,
            why=lambda n: self.rpcs[n].give_up_reason,
            found=self.found,
            ended=lambda n: self.rpcs[n].done,
            sent=self.sent,
            most=self.most,
            unended=[n for n, r in self.rpcs.items() if not r.done],
        )
        text = " ".join(words)
        assert eval(text, names), f"at {self.now // MS} ms: {text}; votes {self.votes[-4:]}, log {self.lines}"

    def sent(self, who, since=0, method=None):
        """How many picks a server or a /build got since a time in ms."""
        return sum(
            p.sent_at >= since * MS
            and who in (self.name(p.server), f"/{p.build}")
            and method in (None, self.method(p.rpc))
            for p in self.sends
        )

    def most(self, who, window):
        """The most picks that a server or a /build got in any window of so many ms."""
        times = [p.sent_at for p in self.sends if who in (self.name(p.server), f"/{p.build}")]
        return max((sum(t <= u <= t + window * MS for u in times) for t in times), default=0)


def play(path):
    player = DecisionPlayer()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = text.split("#")[0].split()
        if words:
            try:
                player.line(*words)
            except Exception as error:
                raise AssertionError(f"{path.name}:{number}: {text}: {error}") from error
