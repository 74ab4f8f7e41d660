"""Tests of the rule by which a member is replaced."""

from ward import each, test

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.replacement import (
    DiskState,
    PeerState,
    Replacement,
    possible_successors,
    propose_replacement,
)

HEALTHY = PeerState(contact_at=99.9, usable_at=99.9, contact_since=0.0)


SILENT = PeerState(contact_at=70.0, usable_at=70.0, contact_since=0.0)


REFUSING = PeerState(contact_at=99.9, usable_at=70.0, contact_since=0.0, disk=DiskState.REFUSES)


RECENTLY_REFUSING = PeerState(contact_at=99.9, usable_at=99.0, contact_since=0.0, disk=DiskState.REFUSES)


NEW_SPARE = PeerState(contact_at=99.9, usable_at=99.9, contact_since=75.0)


JUST_BACK = PeerState(contact_at=99.9, usable_at=99.9, contact_since=99.0)


@test("with the members {b} and {c}, and the spares {d} and {e}, {expected} is proposed")
def _(
    b=each(HEALTHY, HEALTHY, HEALTHY, SILENT, RECENTLY_REFUSING, JUST_BACK, HEALTHY),
    c=each(SILENT, REFUSING, REFUSING, REFUSING, REFUSING, REFUSING, RECENTLY_REFUSING),
    d=each(NEW_SPARE, NEW_SPARE, REFUSING, NEW_SPARE, NEW_SPARE, NEW_SPARE, NEW_SPARE),
    e=each(SILENT, JUST_BACK, HEALTHY, HEALTHY, HEALTHY, HEALTHY, HEALTHY),
    expected=each(
        Replacement("c", "d", "silent"),
        Replacement("c", "d", "refuses writes"),
        Replacement("c", "e", "refuses writes"),
        *[None] * 4,
    ),
):
    configuration = MembershipConfiguration(1, ("a", "b", "c"))
    peers = {"b": b, "c": c, "d": d, "e": e}
    assert propose_replacement(configuration, "a", peers, 100.0, 3.0, 4.0) == expected


def unusable_for(seconds, disk=DiskState.REFUSES, **options):
    """Returns the state at 100 s of a member in contact whose disk last worked some seconds ago."""
    return PeerState(contact_at=99.9, usable_at=100.0 - seconds, contact_since=0.0, disk=disk, **options)


def silent_for(seconds, **options):
    at = 100.0 - seconds
    return PeerState(contact_at=at, usable_at=at, contact_since=0.0, **options)


LEAVING = PeerState(contact_at=99.9, usable_at=99.9, contact_since=0.0, disk=DiskState.LEAVING)


LOST = PeerState(contact_at=99.9, usable_at=0.0, contact_since=0.0, disk=DiskState.LOST)


STALE_NEW = PeerState(contact_at=97.0, usable_at=97.0, contact_since=90.0)


@test("contact_s is 3, sync_s is 4: for the member {c} and the spare {d}, {reason} is the reason")
def _(
    c=each(
        silent_for(2.9),
        silent_for(3.1),
        silent_for(3.1, disk=DiskState.LEAVING),
        silent_for(50.0, member_since=97.1),
        silent_for(50.0, member_since=96.9),
        unusable_for(6.9),
        unusable_for(7.1),
        unusable_for(7.1, DiskState.LOST),
        unusable_for(50.0, member_since=93.1),
        unusable_for(3.1),
        silent_for(3.1),
        silent_for(3.1),
    ),
    d=each(*[HEALTHY] * 9, PeerState(99.9, 99.9, 97.0), LEAVING, STALE_NEW),
    reason=each(
        *[None, "silent", "leaving", None, "silent", None, "refuses writes", "lost", None, "refuses writes"],
        *[None, None],
    ),
):
    configuration = MembershipConfiguration(1, ("a", "b", "c"))
    proposed = propose_replacement(configuration, "a", {"b": HEALTHY, "c": c, "d": d}, 100.0, 3.0, 4.0)
    assert proposed == (reason and Replacement("c", "d", reason))


@test("a controller in contact whose disk works is the first candidate, however short its contact")
def _():
    configuration = MembershipConfiguration(1, ("a", "b", "c"))
    peers = {
        "b": HEALTHY,
        "c": HEALTHY,
        "d": LOST,
        "e": JUST_BACK,
        "f": REFUSING,
        "g": LEAVING,
        "h": STALE_NEW,
    }
    peers["i"] = PeerState(contact_at=99.0, usable_at=99.0)  # never in contact; the program started at 99 s
    assert possible_successors(configuration, peers, 100.0, 3.0) == ["e", "d"]
