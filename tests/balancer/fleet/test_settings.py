"""What the settings tell of the fleet, and what they may lack."""

import pytest
from fleet import Fleet

from honeywood.balancer.sections import InvalidConfiguration
from honeywood.balancer.settings_codec import read_settings

PROFILE = {"name": "read", "idempotency": "safe", "aim_us": 900000, "give_up_us": 3600000}


def read(**given):
    return read_settings({"profiles": [PROFILE], **given}, 1, "settings")


def test_what_is_not_told_has_its_default():
    given = read()
    assert (given.balancers, given.balancer_index, given.probe_price, given.warm_up_time) == (1, 0, 0.0, 0)


@pytest.mark.parametrize(
    "key, part, text",
    [
        ("balancers", {"balancers": -1}, "settings.balancers: -1 is not a whole number from 0 on"),
        ("balancers", {"balancers": "many"}, "settings.balancers: 'many' is not a whole number from 0 on"),
        ("me", {"me": 1.5}, "settings.me: 1.5 is not a whole number from 0 on"),
        ("probe", {"prices": {"probe": -0.1}}, "settings.prices.probe: -0.1 is not a number from 0 to 1e+15"),
    ],
)
def test_what_cannot_be_used_names_its_key(key, part, text):
    with pytest.raises(InvalidConfiguration, match=key) as bad:
        read(**part)
    assert str(bad.value) == text


@pytest.mark.parametrize(
    "given",
    [
        {"balancers": 1},
        {"balancers": 0},
        {"balancers": 200, "balancer_index": 200},
        {"balancers": 3, "balancer_index": 10**9},
        {"zone": 3, "cross_zone_price": 0.02},
        {"balancers": 200, "balancer_index": 199},
    ],
)
@pytest.mark.parametrize("count", [1, 3, 40])
def test_a_front_serves_whatever_it_is_told_of_its_fleet(given, count):
    """Alone, of an unknown number, with an index beyond it, with fewer servers than fronts, with all servers
    in another zone."""
    fleet = Fleet(1, [f"s{n}/1" for n in range(count)], 5, **given)
    member = fleet.members[0]
    fleet.flow(10000)
    fleet.run(14000)
    assert len(member.sends) > 30 and len(member.pushed) + len(member.aborted) <= 0.05 * fleet.taken
    assert len({p.host for p in member.sends}) >= min(count, 6)
