"""Tests the settings that describe the fleet, and their defaults."""

import pytest
from fleet import Fleet

from honeywood.balancer.sections import InvalidConfiguration
from honeywood.balancer.settings_codec import read_settings

PROFILE = {"name": "read", "idempotency": "safe", "aim_us": 900000, "give_up_us": 3600000}


def read(**keys):
    return read_settings({"profiles": [PROFILE], **keys}, 1, "settings")


def test_missing_keys_have_defaults():
    got = read()
    assert (got.balancers, got.balancer_index, got.probe_price, got.warm_up_time) == (1, 0, 0.0, 0)


@pytest.mark.parametrize(
    "key, section, message",
    [
        ("balancers", {"balancers": -1}, "settings.balancers: -1 is not a whole number from 0 on"),
        ("balancers", {"balancers": "many"}, "settings.balancers: 'many' is not a whole number from 0 on"),
        ("me", {"me": 1.5}, "settings.me: 1.5 is not a whole number from 0 on"),
        ("probe", {"prices": {"probe": -0.1}}, "settings.prices.probe: -0.1 is not a number from 0 to 1e+15"),
    ],
)
def test_the_error_for_an_invalid_value_names_its_key(key, section, message):
    with pytest.raises(InvalidConfiguration, match=key) as error:
        read(**section)
    assert str(error.value) == message


@pytest.mark.parametrize(
    "settings",
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
def test_a_balancer_serves_with_any_description_of_its_fleet(settings, count):
    """One balancer, an unknown number of them, an index beyond their number, fewer servers than balancers,
    all servers in another zone."""
    fleet = Fleet(1, [f"s{n}/1" for n in range(count)], 5, **settings)
    member = fleet.members[0]
    fleet.load(10000)
    fleet.run_until(14000)
    assert len(member.sends) > 30 and len(member.rejected) + len(member.aborted) <= 0.05 * fleet.rpc_count
    assert len({a.host for a in member.sends}) >= min(count, 6)
