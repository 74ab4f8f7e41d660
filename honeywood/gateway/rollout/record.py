"""A rollout as the register keeps it: a plain object, changed only from active to done or to reverted.

{"svc", "to_ver", "over_s", "state", "stage", "n", "order", "lasted", "past", "back"}: `n` rises with each
change, so that news of it win by it; `order` is the `n` of its order, counts from before it say nothing.
`lasted` is for how many seconds the order had been held at the last change; whoever looks adds for how long
it has known that `n` (`since`, by a steady clock), so no clock's time of day is in it, and whoever came later
sees less, never more. `past` lists [to_ver, over_s, seconds since its order, at the last change] of earlier
orders, `back` the versions that were sent back and not ordered since.
"""

ACTIVE, DONE, REVERTED = "active", "done", "reverted"
TRIAL, WIDE, FULL = "trial", "wide", "full"
MOST = 16  # orders remembered


def sent_back(held, ver):
    """Whether `ver` was sent back, and not ordered since, by the record held or None."""
    if held is None:
        return False
    return ver in held["back"] or ver == held["to_ver"] and held["state"] == REVERTED


def start(held, svc, to_ver, over_s, since=0.0, again_s=6.0, alone=False):
    """The record after an order, given the one held or None. `again_s` is for how long (seconds) the same
    order may arrive once more. Nothing changes by one for the version that is held, unless it was reverted
    and the order is a new one, nor by the copy of one that another has followed. A version that is `alone`
    in service has nothing to be compared with or to be taken back to: its order is done at once."""
    state, stage = (DONE, FULL) if alone else (ACTIVE, TRIAL)
    first = {"svc": svc, "to_ver": to_ver, "over_s": over_s, "state": state, "stage": stage, "lasted": 0.0}
    if held is None:
        return {**first, "n": 1, "order": 1, "past": (), "back": ()}
    past = tuple(order for order in _aged(held["past"], since) if order[2] <= again_s)
    lasted, copy = held["lasted"] + since, over_s == held["over_s"]
    if to_ver == held["to_ver"] and (held["state"] != REVERTED or copy and lasted <= again_s):
        return held
    if any((to_ver, over_s) == order[:2] for order in past):
        return held
    past += ((held["to_ver"], held["over_s"], lasted),)
    back = (*held["back"], *([held["to_ver"]] if held["state"] == REVERTED else []))
    back = tuple(ver for ver in back if ver != to_ver)[-MOST:]
    return {**first, "n": held["n"] + 1, "order": held["n"] + 1, "past": past[-MOST:], "back": back}


def advance(held, to_ver, n, since=0.0, **changes):
    """The record after a step taken from its `n`, known for `since` seconds: whoever comes late, or after an
    end, changes nothing."""
    if held is None or held["to_ver"] != to_ver or held["n"] != n or held["state"] != ACTIVE:
        return held
    aged = {"lasted": held["lasted"] + since, "past": _aged(held["past"], since)}
    return {**held, **changes, **aged, "n": n + 1}


def _aged(past, since):
    return tuple((to_ver, over_s, age + since) for to_ver, over_s, age in past)
