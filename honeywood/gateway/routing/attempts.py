"""The one place that every send to a machine passes."""

from collections.abc import Callable
from dataclasses import dataclass, field

from honeywood.gateway.routing.answers import FAILED, GOOD, NOT_RUN
from honeywood.gateway.routing.endpoints import READY

FEW = 8  # connections that a machine is taken to accept while no configuration says more
REACHES = 4  # machines that may prove out of reach to one request
LEAST_LEFT = 0.004  # seconds: with less left nothing is begun
LEAST_PART = 0.1  # of the route's aim: a send with less left can't succeed, and is no offer of the request
REFUSE_BY = 0.25  # of the route's aim in which a request that no machine could be offered is refused
CONNECT_LEAST = 0.05  # seconds that a connection is given however late it is: many round trips


@dataclass(slots=True, eq=False)
class Ask:
    """A request on its way. `until` is when its client or route gives up; `sends` are (machine, meaning),
    meaning None while the machine has it."""

    route: object
    service: str
    try_id: bytes
    taken: float
    until: float
    sends: list = field(default_factory=list)
    done: bool = False
    unreached: list = field(default_factory=list)  # machines to which no connection came up
    left: Callable = lambda: False  # whether its client has gone

    @property
    def had(self):
        return [send[0] for send in self.sends]

    @property
    def may_have_run(self):
        return any(meaning != NOT_RUN for _, meaning in self.sends)

    @property
    def arrivals(self):
        return len(self.sends)


def connect_by(now, ask):
    """By when a connection for `ask` must be up: one that has been offered to no machine is refused soon."""
    if ask.sends:
        return ask.until
    return min(ask.until, max(now + CONNECT_LEAST, ask.taken + REFUSE_BY * ask.route.target))


class AttemptGate:
    """Says what keeps an ask from a machine; None where nothing does."""

    def __init__(self, budget_of, fronts, stage, most):
        """`budget_of` gives a service's Budget, `fronts` how many share it and each machine's connections,
        `stage` what versions may get, `most` how many connections a service's machine takes."""
        self.budget_of, self.fronts, self.stage, self.most = budget_of, fronts, stage, most

    def bar(self, now, ask, machine, connected=False):
        """Why `ask` may not go to `machine` now, or None; `connected` says that its connection stands."""
        if ask.done or any(meaning == GOOD for _, meaning in ask.sends):
            return "done"
        if ask.left():
            return "left"
        if machine.state != READY or machine.svc != ask.service:
            return "state"
        if machine in ask.unreached or len(ask.unreached) >= REACHES:
            return "out of reach"  # again and again without a pause until time is up helps nobody
        if ask.unreached and not ask.sends and now >= ask.taken + REFUSE_BY * ask.route.target:
            return "out of reach"  # a refusal that comes soon lets its client go on elsewhere in time
        if now > ask.until - max(LEAST_LEFT, LEAST_PART * ask.route.target):
            return "deadline"
        if not ask.route.safe and ask.may_have_run:
            return "may have run"
        if ask.sends:
            if [machine, FAILED] in ask.sends:  # what failed there once mostly does so again
                return "failed there"
            if (
                len({m.id for m in ask.had} | {machine.id}) > ask.route.tries
                or len(ask.sends) >= 2 * ask.route.tries
            ):
                return "tries"
            if not self.budget_of(ask.service).allows(now, self.fronts()):
                return "budget"
        if not (connected or machine.links) and machine.held >= self.part(ask.service):
            return "connections"
        if not self.stage.allows(now, ask, machine):
            return "stage"
        return None

    def part(self, svc):
        """How many connections to one machine of `svc` are this front's."""
        return max(1, self.most.get(svc, FEW) // max(1, self.fronts()))

    def pass_on(self, now, ask, machine):
        """MachineRecords a send that nothing bars; its record, whose second item the answer's meaning is put
        in."""
        if ask.sends:
            self.budget_of(ask.service).spend(now)
        self.stage.sent(now, ask, machine)
        record = [machine, None]
        ask.sends.append(record)
        return record

    def unsend(self, ask, record):
        """Nothing of it left after all: the connection never came up."""
        ask.sends.remove(record)
