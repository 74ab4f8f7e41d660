"""Whose disks count: a chain of configurations {"epoch", "members", "next"}, each agreed by the one before.
Pure.

Each step of the register carries its epoch, and a disk takes steps of its own epoch alone. Once the members
of an epoch have agreed on the next configuration, a majority of them seal theirs: they take no more steps of
it, and tell what they hold. Who has heard that of a majority holds all that was agreed there, keeps all that
was promised there, and so enters the next epoch.

Epoch START has the seeds of the first start as its members and agrees on nothing but the members of epoch 1.
"""

from math import inf

from honeywood.gateway.register.proposer import current

START = 0
STAYED = 0.75  # times `soon` that a newcomer is in contact before it takes a place
SUCCESSOR = "successor"  # the register with which an epoch agrees on the next one: {"epoch", "members"}


def majority(here):
    return len(here["members"]) // 2 + 1


def takes(here, ip, epoch):
    """Whether the disk of `ip` takes a step of `epoch`."""
    return here["epoch"] == epoch and here["next"] is None and ip in here["members"]


def sealed(here, following):
    """The disk's configuration once the next one is agreed; None where nothing changes."""
    if here["next"] is None and here["epoch"] + 1 == following["epoch"]:
        return {**here, "next": following}
    return None


def entered(following):
    return {"epoch": following["epoch"], "members": following["members"], "next": None}


def moves(here, pulls):
    """Of {ip: pull} those of a majority of this epoch's members, all sealed or gone on to the next epoch;
    empty while there are too few. For a disk in this epoch: it never was in the next (see `joins`)."""
    after = {
        ip: pull
        for ip, pull in pulls.items()
        if ip in here["members"]
        and (pull.members["epoch"] == here["epoch"] + 1 or _leaves(pull, here["epoch"]))
    }
    counted = current(after)
    if len(counted) >= majority(here):
        return counted
    # a member of the next epoch that is in it has heard a majority of this one already, and holds what was
    # agreed since: this disk, which never took a step there, may take up what that one holds
    inside = [
        pull
        for ip, pull in pulls.items()
        if pull.members["epoch"] == here["epoch"] + 1 and ip in pull.members["members"]
    ]
    told = current(pulls)
    return [pull for pull in inside if any(pull is one for one in told)]


def _leaves(pull, epoch):
    return pull.members["epoch"] == epoch and pull.members["next"] is not None


def _followed(pull):
    """Whether a next configuration may have been agreed, as far as the disk told of it."""
    accepted = (pull.rows.get(SUCCESSOR) or (None, None, None))[2]
    epoch = pull.members["epoch"]
    return _leaves(pull, epoch) or accepted is not None and accepted["epoch"] > epoch


def joins(ip, pulls, lost):
    """For a disk that was lost, is new, or stayed behind: the newest configuration that is told, and out of
    {ip: pull} those of its members, but the disk itself, that are in it: a majority of it, or none.

    A `lost` disk takes up no epoch that may be over: it may have been in the next one, and what it agreed to
    there would be missing when it entered that with what the members of this one tell."""
    here = max((pull.members for pull in pulls.values()), key=lambda one: one["epoch"], default=None)
    if here is None or here["epoch"] == START:
        return None, []
    inside = {
        one: pull
        for one, pull in pulls.items()
        if one != ip and one in here["members"] and pull.members["epoch"] == here["epoch"]
    }
    counted = current(inside)
    if len(counted) < majority(here) or lost and any(_followed(pull) for pull in counted):
        return None, []
    following = next((pull.members["next"] for pull in counted if pull.members["next"]), None)
    return {**here, "next": following}, counted


def replacement(here, own, heard, since, now, soon, late):
    """(member, the one to take its place), or None. `heard` says when each controller was last in contact,
    `since` when its present contact began, in seconds. A member is replaced after `late` seconds of silence,
    after `soon` by one that came while it was silent and has stayed: where a cut has ended, all come
    back, but not at one moment. Never while too few others have been in contact for so long themselves."""
    stayed = [ip for ip in here["members"] if ip == own or now - since.get(ip, inf) > STAYED * soon]
    lost = [ip for ip in here["members"] if ip != own and now - heard[ip] > soon]
    if here["next"] or own not in here["members"] or len({*stayed} - {*lost}) < majority(here):
        return None
    for ip in lost:
        for spare in sorted(since):
            there = now - heard[spare] < STAYED * soon < now - since[spare]
            after = soon if since[spare] > heard[ip] else late
            if spare not in here["members"] and there and now - heard[ip] > after:
                return ip, spare
    return None
