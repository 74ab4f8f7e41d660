"""Which of a service's machines is asked: the least busy for its pace, those of the own zone first."""

COLD = 2.0  # a machine that has just started counts as so much slower
CROSSING = 0.5  # another zone's machine must be less busy by this part of its slots: crossing costs
DRAWN = 6  # machines compared, so that fronts that know the same don't all take the same


def cost(now, machine, zone):
    busy = (machine.load(now) + 1) / machine.slots
    pace = machine.pace * (COLD if now < machine.warm_at else 1.0)
    return busy * pace + (CROSSING if machine.zone != zone else 0.0)


def choose(now, machines, zone, had, usual, random):
    """The machine to ask, or None. Those had before, left alone or silent come only where no other is."""
    fit = [m for m in machines if now >= m.alone_until and m not in had and not m.silent(now, usual)]
    if not fit:
        fit = [m for m in machines if m not in had] or list(machines)
    if not fit:
        return None
    if len(fit) > DRAWN:
        near = [m for m in fit if m.zone == zone]
        far = [m for m in fit if m.zone != zone]
        fit = random.sample(near, min(len(near), DRAWN)) + random.sample(far, min(len(far), DRAWN))
    return min(fit, key=lambda m: (cost(now, m, zone), random.random()))
