"""Tests how servers are grouped by the server list and the release."""

from decision_builders import StubRelease, entry, groups, server

from honeywood.balancer.decisions.server_groups import ServerGroups
from honeywood.balancer.model import Server, ServerStatus


def test_servers_that_a_complete_list_does_not_contain_are_removed():
    first, second, server_groups = Server(), Server(), ServerGroups()
    server_groups.update(0, [entry(first), entry(second)], complete=True)
    server_groups.update(1, [entry(second)], complete=True)
    assert server_groups.listed == [second] and first.status == ServerStatus.REMOVED


def test_changes_leave_other_servers_as_they_are():
    first, second, server_groups = Server(), Server(), ServerGroups()
    server_groups.update(0, [entry(first), entry(second)], complete=True)
    server_groups.update(1, [entry(first, status=ServerStatus.DRAINING)], complete=False)
    server_groups.regroup(StubRelease())
    assert server_groups.listed == [first, second] and server_groups.ready == [second]


def test_observations_of_an_earlier_process_are_reset_and_attempts_in_flight_are_not():
    one, server_groups = Server(), ServerGroups()
    server_groups.update(0, [entry(one, started_at=5)], complete=True)
    one.recent_failures, one.ejected_until, one.suspect, one.in_flight = 4.0, 999, True, 2
    server_groups.update(10, [entry(one, started_at=5)], complete=True)
    assert one.recent_failures == 4.0 and one.suspect
    server_groups.update(20, [entry(one, started_at=15)], complete=True)
    assert one.recent_failures == 0.0 and not one.suspect and one.ejected_until == 20
    assert one.in_flight == 2


def test_groups_depend_on_the_trial_and_are_sorted_by_digest():
    old, young, newest = server(digest=3), server(digest=1, build=2), server(digest=2, build=2)
    young.started_at, newest.started_at = 50, 10
    release = StubRelease(build_2=(0.5, 0))
    release.build = 2
    server_groups = groups(old, young, newest, release=release)
    assert server_groups.ready == [young, newest, old]
    assert server_groups.on_trial == [young, newest] and server_groups.established == [old]
    assert server_groups.newest_by_start == [newest, young]
