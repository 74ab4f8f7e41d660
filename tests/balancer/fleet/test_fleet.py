"""What is fine for one front and hurts once every front of a fleet does it."""

import pytest
from fleet import Fleet

SIZES = 3, 40, 200


def servers(count):
    return [f"s{n}/1" for n in range(count)]


@pytest.mark.parametrize("size", SIZES)
def test_no_front_takes_slow_work_for_a_jam(size):
    """40 servers of 3 cores and work of 0.33 s bear 363 a second; 240 come. With second copies that are
    called back, and answers after 0.4 to 0.8 of the soft deadline, counted as slow, 40 fronts push back
    0.105 of them."""
    fleet = Fleet(size, servers(40), 240)
    fleet.flow(12000)
    fleet.run(15000)
    assert fleet.taken > 2500
    assert fleet.sum(lambda m: len(m.pushed) + len(m.aborted)) < 0.03 * fleet.taken


@pytest.mark.parametrize("size", SIZES)
def test_dear_probes_are_not_multiplied_by_the_fleet(size):
    for price, probes in ((0.01, True), (0.08, False)):
        fleet = Fleet(
            size, servers(40), 240, may_probe=True, load_report_fields=("active",), probe_price=price
        )
        fleet.flow(2000)
        fleet.run(3000)
        assert (fleet.sum(lambda m: m.probes) > 100) == probes
        assert price < 0.02 or fleet.sum(lambda m: m.probes) == 0


@pytest.mark.parametrize("size", SIZES)
def test_cold_servers_get_no_more_than_their_multiple_from_all_fronts(size):
    """Ten of 40 servers start at 10 s. In any window of the told length a cold one may get the multiple (2.5)
    of what a warm one gets, times the share of its capacity that it has."""
    fleet = Fleet(
        size, servers(40), 240, initial_capacity_share=0.33, warm_up_time=26400, overload_window=30000
    )
    fleet.flow(20000)
    fleet.run(10000)
    for member in fleet.members:
        member.do_list(*servers(30), *(f"s{n}/1@10000" for n in range(30, 40)))
    fleet.run(20000)
    for since in range(10000, 13000, 500):
        warm = sum(fleet.sent(f"s{n}", since, since + 3000) for n in range(30)) / 30
        for n in range(30, 40):
            assert fleet.sent(f"s{n}", since, since + 3000) <= 2.5 * warm
    assert fleet.sum(lambda m: sum(p.host == "s35" for p in m.sends)) > 10


@pytest.mark.parametrize("size", SIZES)
def test_all_fronts_get_their_list_from_a_discovery_that_refuses_most_calls(size):
    """All start at once and ask; discovery takes one call of each in 6 s and turns away what comes faster.
    Where those refused come again together, only a few of them are taken each time."""
    fleet = Fleet(size, servers(4), 10, list_on_request=True, list_request_window=100000)
    spare, told = [1.0, 0], {}

    def asked(member):
        spare[:] = min(2.0, spare[0] + (fleet.now - spare[1]) * size / 60000), fleet.now
        if spare[0] >= 1:
            spare[0] -= 1
            told.setdefault(member.number, fleet.now)
            fleet.at(10, member.do_list, *servers(4))
        else:
            fleet.at(10, member.balancer.on_server_list_failed, fleet.now + 10)

    for member in fleet.members:
        watch = member.balancer.list_watch
        watch.established = watch.requested = False  # the list at start was the configuration's
        member.watch_servers = lambda member=member: asked(member)
    fleet.run(20000)
    assert len(told) == size and max(told.values()) < 150000


def test_small_fronts_keep_to_few_servers_and_each_server_is_kept_to_by_as_many():
    """200 fronts with 2 RPCs a second each before 100 servers: each pick was a new connection, as a front met
    a server again after 50 s."""
    fleet = Fleet(200, servers(100), 400)
    fleet.flow(20000)
    fleet.run(22000)
    met = [{p.host for p in member.sends} for member in fleet.members]
    assert sum(map(len, met)) / fleet.size < 16
    by = [sum(f"s{n}" in names for names in met) for n in range(100)]
    mean = sum(by) / 100
    assert 0.5 * mean < min(by) and max(by) < 1.6 * mean, (min(by), mean, max(by))


def test_the_few_servers_that_a_front_keeps_to_are_left_where_none_of_them_is_fit():
    fleet = Fleet(200, servers(100), 400)
    fleet.flow(20000)
    fleet.run(10000)
    first = fleet.members[0]
    kept = {p.host for p in first.sends}
    assert len(kept) < 30
    first.do_list(*(name if name.partition("/")[0] not in kept else name + "-" for name in servers(100)))
    fleet.run(22000)
    late = [p for p in first.sends if p.sent_at > 100000]
    assert len(late) > 10 and not kept & {p.host for p in late} and not first.pushed
