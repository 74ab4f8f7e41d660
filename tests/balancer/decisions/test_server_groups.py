"""Groups of servers by the list and the release."""

from decision_builders import NoRelease, entry, groups, server

from honeywood.balancer.decisions.server_groups import ServerGroups
from honeywood.balancer.model import Server, ServerStatus


def test_servers_that_a_complete_list_does_not_name_are_gone():
    first, second, made = Server(), Server(), ServerGroups()
    made.update(0, [entry(first), entry(second)], complete=True)
    made.update(1, [entry(second)], complete=True)
    assert made.listed == [second] and first.status == ServerStatus.REMOVED


def test_changes_leave_the_others_as_they_are():
    first, second, made = Server(), Server(), ServerGroups()
    made.update(0, [entry(first), entry(second)], complete=True)
    made.update(1, [entry(first, status=ServerStatus.DRAINING)], complete=False)
    made.regroup(NoRelease())
    assert made.listed == [first, second] and made.ready == [second]


def test_what_was_seen_of_an_earlier_process_is_forgotten_and_what_is_in_flight_is_not():
    one, made = Server(), ServerGroups()
    made.update(0, [entry(one, started_at=5)], complete=True)
    one.recent_failures, one.ejected_until, one.suspect, one.in_flight = 4.0, 999, True, 2
    made.update(10, [entry(one, started_at=5)], complete=True)
    assert one.recent_failures == 4.0 and one.suspect
    made.update(20, [entry(one, started_at=15)], complete=True)
    assert one.recent_failures == 0.0 and not one.suspect and one.ejected_until == 20
    assert one.in_flight == 2


def test_groups_are_by_the_trial_and_in_the_order_of_digests():
    old, young, newest = server(digest=3), server(digest=1, build=2), server(digest=2, build=2)
    young.started_at, newest.started_at = 50, 10
    release = NoRelease(build_2=(0.5, 0))
    release.build = 2
    made = groups(old, young, newest, release=release)
    assert made.ready == [young, newest, old]
    assert made.on_trial == [young, newest] and made.established == [old]
    assert made.newest_by_start == [newest, young]
