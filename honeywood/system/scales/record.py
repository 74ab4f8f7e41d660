"""A rollout as the register keeps it: a plain object, changed only from active to done or to reverted.

{"svc", "to_ver", "over_s", "began", "state", "stage", "n"}: `began` is the time of day (seconds) of
the order, `n` rises with each change, so that news of it win by it.
"""

ACTIVE, DONE, REVERTED = "active", "done", "reverted"
TRIAL, FULL = "trial", "full"


def start(held, svc, to_ver, over_s, now):
    """The record after an order, given the one held or None: an order for what is held changes nothing."""
    if held is not None and held["to_ver"] == to_ver:
        return held
    n = 1 if held is None else held["n"] + 1
    return {
        "svc": svc,
        "to_ver": to_ver,
        "over_s": over_s,
        "began": now,
        "state": ACTIVE,
        "stage": TRIAL,
        "n": n,
    }


def advance(held, to_ver, n, **changes):
    """The record after a step taken from its `n`: whoever comes late, or after an end, changes nothing."""
    if held is None or held["to_ver"] != to_ver or held["n"] != n or held["state"] != ACTIVE:
        return held
    return {**held, **changes, "n": n + 1}
