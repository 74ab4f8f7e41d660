"""The bound: what a router would choose that sees each machine's true queue and health."""

ILL = 9  # what a certain failure weighs, in queues


def best_machine(world, program, request):
    """The endpoint with the least work before it, truly alive and well; None where a proxy knows none."""
    best = []
    for at, machine in enumerate(world.machines.alive(request.service)):
        known = program.endpoints.by_id.get(machine.id)
        if known is not None and program.policy.rejection(world.loop.time(), request, known) is None:
            queue = (machine.running + len(machine.waiting)) / machine.slots
            wrong = machine.bad + machine.cuts + machine.spoils
            best.append((queue * machine.pace + machine.pace / 4 + ILL * wrong, at, known))
    return min(best)[2] if best else None
