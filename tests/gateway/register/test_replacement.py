"""Tests of the rule by which a member is replaced."""

from ward import each, test

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.replacement import DiskState, PeerState, Replacement, propose_replacement

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
    assert propose_replacement(configuration, "a", peers, 100.0, 3.0, 21.0) == expected
