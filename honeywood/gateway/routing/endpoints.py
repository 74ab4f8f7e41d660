"""The machines that are known, as news tell them, and what a front has seen of each."""

from math import inf

READY, DRAINING, GONE, LOST = "ready", "draining", "gone", "silent"
FADES = 0.4  # seconds in which half of what a machine told of others' load is forgotten
PACE_STEP, PACE_MOST = 0.1, 8.0
LEFT_ALONE = 0.5  # seconds a machine is left alone after trouble; doubled each time up to
LONGEST = 4.0
SILENCE = 3.0  # times the usual answer time after which an unanswering machine is avoided


class Machine:
    """A life of a machine. Times are seconds on the caller's clock; `pace` is its time beside its kin's."""

    __slots__ = (
        "id",
        "svc",
        "ip",
        "port",
        "zone",
        "ver",
        "slots",
        "state",
        "warm_at",
        "open",
        "others",
        "told_at",
        "pace",
        "alone_until",
        "troubles",
        "waits_since",
        "links",
        "dialling",
        "up",
        "seen_at",
    )

    def __init__(self, id, now):
        self.id, self.seen_at, self.open, self.others, self.told_at = id, now, 0, 0.0, -inf
        self.pace, self.alone_until, self.troubles, self.waits_since = 1.0, -inf, 0, None
        self.links, self.dialling, self.up, self.state = [], 0, 0, GONE

    def load(self, now):
        """Requests believed to be at it: this front's own and, fading, what it told of others'."""
        return self.open + self.others * 0.5 ** ((now - self.told_at) / FADES)

    def told(self, now, running, waiting):
        self.others, self.told_at = max(0.0, running + waiting - self.open), now

    def joined(self, change):
        """A connection to it has come up (1) or ended (-1)."""
        self.up += change

    @property
    def held(self):
        """Connections that this front has with it or is opening; machines reset what is over `max_conns`."""
        return self.up + self.dialling

    def began(self, now):
        if not self.open:
            self.waits_since = now
        self.open += 1

    def ended(self, now, answered):
        self.open -= 1
        if answered:
            self.waits_since, self.troubles = now, 0

    def trouble(self, now):
        self.alone_until = now + min(LONGEST, LEFT_ALONE * 2 ** min(self.troubles, 8))
        self.troubles += 1

    def silent(self, now, usual):
        """Whether it has work of ours and has answered nothing for long."""
        return self.open > 0 and self.waits_since is not None and now - self.waits_since > SILENCE * usual


class Endpoints:
    """Machines by id and by service, built from notes under machine/."""

    def __init__(self):
        self.machines, self.services, self.usual = {}, {}, {}
        self.most = {}  # connections that a service's machine takes from all fronts together

    def hear(self, now, id, value):
        """Takes what a note says of a machine; the machine, and whether it left service by that."""
        machine = self.machines.get(id)
        if value["state"] in (GONE, LOST):
            if machine is not None:
                del self.machines[id]
                self.services[machine.svc].remove(machine)
                machine.state = value["state"]
            return machine, machine is not None
        if machine is None:
            machine = self.machines[id] = Machine(id, now)
            machine.svc = value["svc"]
            self.services.setdefault(machine.svc, []).append(machine)
        machine.ip, machine.port = value["ip"], value["port"]
        machine.zone, machine.ver, machine.slots = value["zone"], value["ver"], max(1, value["slots"])
        machine.warm_at = now + value["cold"]
        left = machine.state == READY != value["state"]
        machine.state = value["state"]
        return machine, left

    def answered(self, now, machine, took):
        """A whole answer after `took` seconds: what is usual for the service, and the machine's pace."""
        usual = self.usual.get(machine.svc, took)
        self.usual[machine.svc] = usual + (took - usual) * 0.02
        if now >= machine.warm_at and usual > 0:
            machine.pace += (min(PACE_MOST, took / usual) - machine.pace) * PACE_STEP
