"""Tests behaviour that is harmless in one balancer and harmful if all balancers of a fleet show it."""

import pytest
from fleet import Fleet

SIZES = 3, 40, 200


def servers(count):
    return [f"s{n}/1" for n in range(count)]


@pytest.mark.parametrize("size", SIZES)
def test_no_balancer_takes_long_work_for_an_overload(size):
    """40 servers with 3 cores and 0.33 s of work for each RPC handle 363 RPCs per second; 240 arrive. When
    cancelled hedged requests, and answers after 0.4 to 0.8 of the latency target, counted as slow, 40
    balancers rejected 0.105 of the RPCs."""
    fleet = Fleet(size, servers(40), 240)
    fleet.load(12000)
    fleet.run_until(15000)
    assert fleet.rpc_count > 2500
    assert fleet.total(lambda m: len(m.rejected) + len(m.aborted)) < 0.03 * fleet.rpc_count


@pytest.mark.parametrize("size", SIZES)
def test_expensive_probes_are_not_multiplied_by_the_fleet(size):
    for price, probes in ((0.01, True), (0.08, False)):
        fleet = Fleet(
            size, servers(40), 240, may_probe=True, load_report_fields=("active",), probe_price=price
        )
        fleet.load(2000)
        fleet.run_until(3000)
        assert (fleet.total(lambda m: m.probes) > 100) == probes
        assert price < 0.02 or fleet.total(lambda m: m.probes) == 0


@pytest.mark.parametrize("size", SIZES)
def test_warming_up_servers_get_no_more_than_their_multiple_from_all_balancers(size):
    """Ten of 40 servers start at 10 s. In any window of the configured length, a server that is warming up
    may get the multiple (2.5) of what a warmed-up one gets, times its current share of its capacity."""
    fleet = Fleet(
        size, servers(40), 240, initial_capacity_share=0.33, warm_up_time=26400, overload_window=30000
    )
    fleet.load(20000)
    fleet.run_until(10000)
    for member in fleet.members:
        member.do_list(*servers(30), *(f"s{n}/1@10000" for n in range(30, 40)))
    fleet.run_until(20000)
    for since in range(10000, 13000, 500):
        warmed_up = sum(fleet.sent(f"s{n}", since, since + 3000) for n in range(30)) / 30
        for n in range(30, 40):
            assert fleet.sent(f"s{n}", since, since + 3000) <= 2.5 * warmed_up
    assert fleet.total(lambda m: sum(a.host == "s35" for a in m.sends)) > 10


@pytest.mark.parametrize("size", SIZES)
def test_all_balancers_get_their_list_from_a_discovery_that_refuses_most_calls(size):
    """All balancers start at the same time and request the list. Discovery accepts one call per balancer in
    6 s and refuses the others. If refused balancers retried at the same time, only a few of them would be
    accepted each time."""
    fleet = Fleet(size, servers(4), 10, list_on_request=True, list_request_window=100000)
    bucket, listed_at = [1.0, 0], {}

    def on_list_request(member):
        bucket[:] = min(2.0, bucket[0] + (fleet.now - bucket[1]) * size / 60000), fleet.now
        if bucket[0] >= 1:
            bucket[0] -= 1
            listed_at.setdefault(member.number, fleet.now)
            fleet.schedule(10, member.do_list, *servers(4))
        else:
            fleet.schedule(10, member.balancer.on_server_list_failed, fleet.now + 10)

    for member in fleet.members:
        watch = member.balancer.list_watch
        watch.established = watch.requested = False  # the first list was the one of the configuration
        member.watch_servers = lambda member=member: on_list_request(member)
    fleet.run_until(20000)
    assert len(listed_at) == size and max(listed_at.values()) < 150000


def test_balancers_with_little_traffic_use_few_servers_and_load_them_evenly():
    """200 balancers with 2 RPCs per second each share 100 servers. If each used all of them, every attempt
    would need a new connection, since a balancer would return to a server only after 50 s."""
    fleet = Fleet(200, servers(100), 400)
    fleet.load(20000)
    fleet.run_until(22000)
    used = [{a.host for a in member.sends} for member in fleet.members]
    assert sum(map(len, used)) / fleet.size < 16
    users = [sum(f"s{n}" in names for names in used) for n in range(100)]
    mean = sum(users) / 100
    assert 0.5 * mean < min(users) and max(users) < 1.6 * mean, (min(users), mean, max(users))


def test_a_balancer_uses_other_servers_if_none_of_its_subset_is_ready():
    fleet = Fleet(200, servers(100), 400)
    fleet.load(20000)
    fleet.run_until(10000)
    first = fleet.members[0]
    subset = {a.host for a in first.sends}
    assert len(subset) < 30
    first.do_list(*(name if name.partition("/")[0] not in subset else name + "-" for name in servers(100)))
    fleet.run_until(22000)
    later = [a for a in first.sends if a.sent_at > 100000]
    assert len(later) > 10 and not subset & {a.host for a in later} and not first.rejected
