"""Breadth first through all states of a model, so that what is found first is the shortest."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Found:
    """`states` that differ, `depth` steps deep; `whole` says that none are left beyond. `wrong` names what
    was broken, by the steps of `trace`."""

    states: int
    depth: int
    whole: bool
    wrong: str = ""
    trace: tuple = ()


def explore(model, depth, most=10_000_000):
    """Searches up to `depth` steps or `most` states. A model has `start`, `steps(state)` as [(label, state)]
    and `wrong(state)`, which names the invariant that doesn't hold, or is empty."""
    came, edge = {model.start: None}, [model.start]
    for deep in range(depth + 1):
        after = []
        for state in edge:
            wrong = model.wrong(state)
            if wrong:
                return Found(len(came), deep, False, wrong, _trace(came, state))
            if deep == depth:
                continue
            for label, reached in model.steps(state):
                if reached not in came:
                    if len(came) >= most:
                        return Found(len(came), deep, False)
                    came[reached] = state, label
                    after.append(reached)
        if not after:
            return Found(len(came), deep, deep < depth)
        edge = after
    return Found(len(came), depth, False)


def _trace(came, state):
    found = []
    while came[state] is not None:
        state, label = came[state]
        found.append(label)
    return tuple(reversed(found))


def walk(model, random, steps):
    """One way by chance through a model too wide to search whole: (steps taken, what was broken, trace)."""
    state, trace = model.start, []
    for taken in range(steps):
        wrong = model.wrong(state)
        if wrong:
            return taken, wrong, tuple(trace)
        ways = list(model.steps(state))
        if not ways:
            return taken, "", tuple(trace)
        label, state = random.choice(ways)
        trace.append(label)
    return steps, model.wrong(state), tuple(trace)


def follow(model, labels):
    """The state that the steps named `labels` lead to from the start; KeyError where one isn't there."""
    state = model.start
    for label in labels:
        state = dict(model.steps(state))[label]
    return state
