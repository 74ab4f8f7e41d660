"""Plays scenario files: a front of its own, answers that follow a script, and what must have come of it.

A line is one of
    given NAME VALUE ...            settings; methods are listed as name=kind/soft/deadline/utility (ms)
    MS list a/1 b/1 c/2@MS d/1-     the whole list: server/build, @ its start, - draining
    MS change a/1 c/2               changes only
    MS news BUILD STEP CAP [STANDING] [stale]
    MS answer PATTERN RESULT MS     from now on picks matching PATTERN (server, /build or method) end so;
                                    RESULT may be OTHER:N for every Nth, ok else; "never" leaves them out
    MS rpc NAME METHOD [DEADLINE [KEY]]   one RPC
    MS flow UNTIL EVERY METHOD [CUSTOMER]   a stream of them
    MS wrong SERVER METHOD N        so many wrong answers are reported
    MS tally BUILD METHOD FAILED ENDED MS   what the platform counted until 1500 ms ago
    MS restart                      a new front with the last list
    MS expect WHAT                  a Python expression over the names bound in Play.expect
"""
from heapq import heappop, heappush

from honeywood import decide
from honeywood import interface as face

RESULTS = {"error": 0, "ok": 1, "full": 2, "timeout": 3, "unconnected": 4, "reset": 5, "moot": 7}
MS = 10


class Play:
    def __init__(self):
        self.given = dict(
            seed=7, tick=50, zone=0, fronts=2,
            max_picks=4, may_duplicate=True, may_cancel=True, may_probe=False, max_wait=10000, must_ask=False,
            ask_within=100000, cold_share=0.4, cold_time=40000, tip_multiple=2.5,
            tip_time=20000, report_fields=(), cross_price=0.0,
            caps=[0.1, 0.5, 1.0], waves=[0.1, 0.4, 1.0], free_picks=2,
            exposure_window=30000, per_method=False, guarded_steps=0, one_way=False, vote_rule="any",
            back_votes=1, go_votes=1, vote_life=60000, vote_wait=12000,
            tally_period=0)
        self.methods, self.servers, self.rpcs, self.answers = {}, {}, {}, []
        self.queue, self.order, self.now = [], 0, 0
        self.sends, self.votes, self.pushed, self.aborted, self.watches = [], [], [], [], 0
        self.front, self.reply, self.lines, self.probes = None, "ok", [], 0

    # What the front asks of its host.
    def send(self, pick, until):
        self.sends.append(pick)
        assert sum(p.result is None for p in pick.rpc.picks) == 1 or self.given["may_duplicate"]
        for pattern, result, after in reversed(self.answers):
            names = (self.name(pick.server), f"/{pick.server.build}", self.method(pick.rpc), "*")
            if pattern in names:
                kind, _, every = result.partition(":")
                picked = sum(p.server.build == pick.server.build for p in self.sends) % int(every or 1) == 0
                if kind != "never" or not picked:
                    return self.at(after, self.end, pick, RESULTS[kind if picked else "ok"], after)
                break
        self.at(until - self.now, self.end, pick, face.TIMEOUT, until - self.now)

    def push_back(self, rpc, wait):
        assert rpc not in self.pushed + self.aborted, "two final answers"
        self.pushed.append(rpc)

    def abort(self, rpc):
        assert rpc not in self.pushed + self.aborted, "two final answers"
        self.aborted.append(rpc)

    def cancel(self, pick):
        self.at(1, self.end, pick, face.CANCELLED, 1)

    def probe(self, server):
        self.probes += 1

    def wake(self, after):
        front = self.front
        self.at(after, lambda: front.woken(self.now) if front is self.front else None)

    def vote(self, build, step, verdict):
        self.votes.append((build, step, verdict))
        if self.reply != "never":
            self.at(500, lambda: self.front.news(self.now, RESULTS[self.reply], True, build, *self.stands))

    def watch(self):
        self.watches += 1

    def log(self, text):
        self.lines.append(text)

    # The script's side.
    def at(self, after, call, *values):
        self.order += 1
        heappush(self.queue, (self.now + max(1, int(after)), self.order, call, values))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, values = heappop(self.queue)
            call(*values)
        self.now = until

    def end(self, pick, result, latency):
        if pick.result is None:
            ended = result == face.OK or pick.rpc.done
            self.front.back(self.now, pick, result, latency, (), ended)

    def name(self, server):
        return next(n for n, s in self.servers.items() if s is server)

    def method(self, rpc):
        return next(n for n, m in self.methods.items() if m is rpc.method)

    def line(self, verb, *words):
        if verb == "given":
            for name, value in zip(words[::2], words[1::2]):
                self.given[name] = eval(value)
        elif verb == "methods":
            for place, (name, kind, soft, deadline, utility) in enumerate(w.split("/") for w in words):
                self.methods[name] = face.Method(
                    kind=kind, soft=int(soft) * MS, soft_stretch=0, deadline=int(deadline) * MS, place=place,
                    utility=float(utility), late_utility=0, group="all", window=80000)
        else:
            until = int(verb) * MS
            if self.front is None:
                self.start()
            self.run(until)
            getattr(self, "do_" + words[0])(*words[1:])

    def start(self):
        settings = face.Settings(methods=list(self.methods.values()), **self.given)
        self.front = decide.Front(settings, self)
        self.front.start(self.now)

    def do_list(self, *words, whole=True):
        lines = []
        for word in words:
            name, _, rest = word.partition("/")
            build, _, boot = rest.rstrip("-").partition("@")
            server = self.servers.setdefault(name, face.Server())
            booted = int(boot) * MS if boot else face.LONG_AGO
            lines.append((server, int(build), 0, 0, 1.0, 1 if "-" in rest else 2, booted))
        self.front.listed(self.now, lines, whole)

    def do_change(self, *words):
        self.do_list(*words, whole=False)

    def do_failed(self):
        self.front.list_failed(self.now)

    def do_news(self, build, step, cap, standing="0", result="ok"):
        self.stands = (int(step), float(cap), int(standing), 0)
        self.front.news(self.now, RESULTS[result], False, int(build), *self.stands)

    def do_replies(self, result):
        self.reply = result

    def do_answer(self, pattern, result, after):
        self.answers.append((pattern, result, int(after) * MS))

    def do_wrong(self, server, method, times):
        for _ in range(int(times)):
            self.front.found_wrong(self.now, self.servers[server], self.methods[method])

    def do_tally(self, build, method, failed, ended, mean):
        counts = int(failed), int(ended), int(mean) * MS
        self.front.tallied(self.now, int(build), self.methods[method], *counts, 1500 * MS)

    def do_rpc(self, name, method, deadline=None, key=None, customer=0):
        kind = self.methods[method]
        rpc = self.rpcs[name] = face.Rpc(
            method=kind, customer=customer, key=int(key or len(self.rpcs) + 1000), work=0, repeat=False,
            taken=self.now, picks=[], done=False,
            deadline=self.now + (int(deadline) * MS if deadline else kind.deadline))
        self.front.take(self.now, rpc)

    def do_flow(self, until, every, method, customer=0):
        for at in range(self.now, int(until) * MS, int(every) * MS):
            name = f"{method}{at}{every}"
            self.at(at - self.now, lambda n: self.do_rpc(n, method, customer=int(customer)), name)

    def do_restart(self):
        for server in self.servers.values():
            server.status, server.open = None, 0
        self.rpcs, self.queue = {}, []
        self.start()

    def do_expect(self, *words):
        names = dict(
            pushes=len(self.pushed), votes=self.votes, judge=self.front.judge, watches=self.watches,
            log=self.lines, pushes_of=[sum(r.customer == c for r in self.pushed) for c in (0, 1)],
            on=lambda n: [self.name(p.server) for p in self.rpcs[n].picks],
            pushed=lambda n: self.rpcs[n] in self.pushed, aborted=lambda n: self.rpcs[n] in self.aborted,
            ended=lambda n: self.rpcs[n].done, sent=self.sent, most=self.most,
            unended=[n for n, r in self.rpcs.items() if not r.done])
        text = " ".join(words)
        assert eval(text, names), f"at {self.now // MS} ms: {text}; votes {self.votes[-4:]}, log {self.lines}"

    def sent(self, who, since=0, method=None):
        """How many picks a server or a /build got since a time in ms."""
        return sum(p.sent >= since * MS and who in (self.name(p.server), f"/{p.build}")
                   and method in (None, self.method(p.rpc)) for p in self.sends)

    def most(self, who, window):
        """The most picks that a server or a /build got in any window of so many ms."""
        times = [p.sent for p in self.sends if who in (self.name(p.server), f"/{p.build}")]
        return max((sum(t <= u <= t + window * MS for u in times) for t in times), default=0)


def play(path):
    game = Play()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = text.split("#")[0].split()
        if words:
            try:
                game.line(*words)
            except Exception as wrong:
                raise AssertionError(f"{path.name}:{number}: {text}: {wrong}") from wrong
