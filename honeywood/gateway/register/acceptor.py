"""One disk's side of the register. Per key it keeps a row [promised, accepted, value]; ballots are
[count, name], the higher wins.

What must hold: a ballot below the promised one is refused; a row is on disk before it is told of.
"""

NEVER = [0, ""]


def prepare(row, ballot):
    """The row after a promise and the reply; the row is None where nothing changed."""
    promised, accepted, value = row or (NEVER, NEVER, None)
    if ballot <= promised:
        return None, {"ok": False, "promised": promised}
    return [ballot, accepted, value], {"ok": True, "accepted": accepted, "value": value}


def accept(row, ballot, value):
    promised, _, _ = row or (NEVER, NEVER, None)
    if ballot < promised:
        return None, {"ok": False, "promised": promised}
    return [ballot, ballot, value], {"ok": True}


def shown(row):
    """What a read is told of a row: `sure` where it may count as accepted here, even if it is a copy, since
    nothing higher has been promised."""
    promised, accepted, value = row or (NEVER, NEVER, None)
    return {"accepted": accepted, "value": value, "sure": accepted in (promised, NEVER)}


def known_lives(told):
    """What is known of disks' lives, out of what several know of them."""
    return {ip: max(lives.get(ip, 0) for lives in told) for lives in told for ip in lives}


def next_life(ip, told):
    """The life with which the lost disk of `ip` begins anew, out of what enough others know."""
    return known_lives(told).get(ip, 1) + 1


def rebuilt(pulls):
    """The rows of a disk that was lost, out of those of enough others: per key the highest promise and the
    highest accepted value."""
    rows = {}
    for pull in pulls:
        for key, (promised, accepted, value) in pull.items():
            held = rows.get(key, [NEVER, NEVER, None])
            if accepted > held[1]:
                held = [held[0], accepted, value]
            rows[key] = [max(held[0], promised), held[1], held[2]]
    return rows
