"""Rules of a bad version on trial: `exposure`."""

from bisect import bisect_left
from dataclasses import dataclass
from math import inf

BAD_ANSWERS = 50  # bad answers after which a bad version must be stopped


@dataclass(slots=True)
class Trial:
    """A bad version of a service: what reached it since its order, and when it must have been stopped."""

    version: str
    ordered_at: float
    requests: int = 0
    bad: int = 0
    stopped_by: float = inf


class TrialRules:
    """Watches what reaches bad versions."""

    def __init__(self, core):
        """`core` knows who is in touch."""
        self.core, self.trials = core, {}

    def ordered(self, now, service, version, bad):
        """A rollout is about to be ordered; of one that is well nothing is watched."""
        self.trials[service] = Trial(version, now) if bad else None

    def ran(self, now, machine, proxy, sent_at, failed):
        """A request that was first sent at `sent_at` runs at a machine."""
        trial = self.trials.get(machine.svc)
        if trial is None or machine.ver != trial.version or not self.core.in_touch(now, proxy):
            return
        bad = failed or machine.slow > 0
        trial.requests += 1
        trial.bad += bad
        rollback_s = self.core.bounds["rollback_s"]
        if trial.bad == BAD_ANSWERS and bad:
            trial.stopped_by = now + rollback_s
        if sent_at > trial.stopped_by and self.core.settled_at < trial.stopped_by - rollback_s:
            self.core.breach("exposure", now, f"{sent_at - trial.stopped_by:.2f} s too late")

    def close(self, now, arrivals):
        """The share of a service's requests that reached its bad version; `arrivals` are their times."""
        share, slack = self.core.bounds["canary_share"], self.core.bounds["canary_slack"]
        for service, trial in self.trials.items():
            if trial:
                asked = len(arrivals[service]) - bisect_left(arrivals[service], trial.ordered_at)
                if trial.requests > share * asked + slack:
                    self.core.breach("exposure", now, f"{service}: {trial.requests} of {asked}")
