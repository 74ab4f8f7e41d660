"""When the server list is asked for."""

from random import Random

from decision_builders import RecordingHost, settings

from honeywood.balancer.decisions.list_watch import MAX_REQUEST_INTERVAL, ListWatch


def watch(**given):
    host = RecordingHost()
    return ListWatch(settings(**given), host, Random(1)), host


def test_a_list_that_is_pushed_is_never_asked_for():
    made, host = watch()
    made.on_timer(0)
    assert host.list_requests == 0 and not made.is_stale


def test_it_is_asked_for_again_until_it_comes():
    made, host = watch(list_on_request=True)
    for now in (0, MAX_REQUEST_INTERVAL - 1, MAX_REQUEST_INTERVAL):
        made.on_timer(now)
    assert host.list_requests == 2 and made.is_stale
    made.on_server_list()
    made.on_timer(10 * MAX_REQUEST_INTERVAL)
    assert host.list_requests == 2 and not made.is_stale


def test_after_a_refusal_it_waits_for_a_part_of_the_interval():
    made, host = watch(list_on_request=True, list_request_window=9_000)
    made.on_timer(0)
    made.on_failure(100)
    made.on_timer(100)
    assert host.list_requests == 1
    made.on_timer(100 + 3_000)
    assert host.list_requests == 2
