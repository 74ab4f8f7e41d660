"""The rule by which a member is replaced."""

from ward import each, test

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.replacement import DiskState, PeerState, Replacement, propose_replacement

WELL = PeerState(contact_at=99.9, usable_at=99.9, contact_since=0.0)


GONE = PeerState(contact_at=70.0, usable_at=70.0, contact_since=0.0)


REFUSES = PeerState(contact_at=99.9, usable_at=70.0, contact_since=0.0, disk=DiskState.REFUSES)


JUST_REFUSES = PeerState(contact_at=99.9, usable_at=99.0, contact_since=0.0, disk=DiskState.REFUSES)


CAME = PeerState(contact_at=99.9, usable_at=99.9, contact_since=75.0)


BACK = PeerState(contact_at=99.9, usable_at=99.9, contact_since=99.0)


@test("with {b} and {c}, and {d} and {e} besides, {found} is proposed")
def _(
    b=each(WELL, WELL, WELL, GONE, JUST_REFUSES, BACK, WELL),
    c=each(GONE, REFUSES, REFUSES, REFUSES, REFUSES, REFUSES, JUST_REFUSES),
    d=each(CAME, CAME, REFUSES, CAME, CAME, CAME, CAME),
    e=each(GONE, BACK, WELL, WELL, WELL, WELL, WELL),
    found=each(
        Replacement("c", "d", "silent"),
        Replacement("c", "d", "refuses writes"),
        Replacement("c", "e", "refuses writes"),
        *[None] * 4,
    ),
):
    configuration = MembershipConfiguration(1, ("a", "b", "c"))
    peers = {"b": b, "c": c, "d": d, "e": e}
    assert propose_replacement(configuration, "a", peers, 100.0, 3.0, 21.0) == found
