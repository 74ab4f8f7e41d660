"""Rules of requests: `once`, `promise`, `own`, `drain`, `budget` and `gone`."""

from bisect import bisect_left
from collections import Counter, defaultdict

GONE_WITHIN_S = 0.5  # seconds after a client's leaving in which machines must be rid of what may be repeated
PROMISES = (408, 421, 429, 503)  # answers that promise that nothing has run


class RequestRules:
    """Watches requests from their clients to the machines and back."""

    def __init__(self, core, trials):
        """`trials` is told of what runs at machines."""
        self.core, self.trials = core, trials
        self.safe, self.sent_at = {}, {}  # by a try's id: whether it may be repeated; when it was sent
        self.runs, self.promised, self.arrived_ids = Counter(), set(), set()
        self.arrivals = defaultdict(list)  # times of requests, by service
        self.further = defaultdict(list)  # times of further arrivals at machines, by service
        self.leaving = {}  # when a machine's leaving was acknowledged
        self.resets = 0
        self.left_at = {}  # by a try's id: when its client left, and which proxy

    def asked(self, now, id, service, safe):
        """A client sends a try."""
        self.safe[id], self.sent_at[id] = safe, now
        self.arrivals[service].append(now)

    def arrived(self, now, id, machine, proxy):
        """A try arrives at a machine."""
        if id in self.arrived_ids:
            self.further[machine.svc].append(now)
        self.arrived_ids.add(id)
        left = self.leaving.get(machine.id)
        late = left is not None and now > left + self.core.bounds["drain_s"]
        if late and self.core.in_touch(now, proxy):
            self.core.breach("drain", now, f"{machine.id}, {now - left:.2f} s after the acknowledgement")

    def ran(self, now, id, machine, proxy, failed):
        """A machine begins to work on a try."""
        self.runs[id] += 1
        if not self.safe[id]:
            if self.runs[id] > 1:
                self.core.breach("once", now, f"{id.decode()} runs again at {machine.id}")
            if id in self.promised:
                self.core.breach("promise", now, f"{id.decode()} runs after its promise")
        self.trials.ran(now, machine, proxy, self.sent_at[id], failed)

    def client_left(self, now, id, proxy):
        """A client closes its connection before its answer."""
        self.left_at[id] = now, proxy

    def run_ended(self, now, id):
        """A machine is rid of a try, done or dropped: a breach where a repeatable run outlasted its client,
        at a proxy in touch all the while."""
        left_at, proxy = self.left_at.get(id, (now, ""))
        late = self.safe.get(id) and now - left_at > GONE_WITHIN_S
        if late and self.core.in_touch(left_at, proxy) and self.core.in_touch(now, proxy):
            self.core.breach("gone", now, f"{id.decode()} ran {now - left_at:.2f} s after its client left")

    def answered(self, now, id, status, body):
        """A client has its answer."""
        if status in PROMISES:
            self.promised.add(id)
            if not self.safe[id] and self.runs[id]:
                self.core.breach("promise", now, f"{id.decode()} was answered {status} and had run")
        if 200 <= status < 300 and body != id:
            self.core.breach("own", now, f"{id.decode()} got the answer of {body!r}")

    def reset(self):
        """A machine resets a connection beyond those it takes."""
        self.resets += 1

    def left(self, now, machine_id):
        """A machine's leaving is acknowledged."""
        self.leaving.setdefault(machine_id, now)

    def close(self):
        """Further arrivals against the requests of the same time."""
        for service, times in self.further.items():
            for at, time in enumerate(times):
                if self._over_budget(service, time, times, at):
                    break

    def _over_budget(self, service, time, times, at):
        """Whether the further arrivals of the window up to one are too many; it is noted as a breach."""
        window_s, ratio, slack = (
            self.core.bounds[key] for key in ("retry_win_s", "retry_ratio", "retry_slack")
        )
        asked = self.arrivals[service]
        spent = at + 1 - bisect_left(times, time - window_s)
        most = max(
            bisect_left(asked, time - back * window_s) - bisect_left(asked, time - (back + 1) * window_s)
            for back in (0.0, 1.0, 0.5)
        )
        over = spent > ratio * most + slack
        if over:
            why = f"{service}: {spent} further arrivals for {most} requests"
            self.core.breach("budget", time, why)
        return over
