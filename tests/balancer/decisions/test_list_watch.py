"""Tests when the server list is requested."""

from random import Random

from decision_builders import RecordingHost, settings

from honeywood.balancer.decisions.list_watch import MAX_REQUEST_INTERVAL, ListWatch


def watch(**fields):
    host = RecordingHost()
    return ListWatch(settings(**fields), host, Random(1)), host


def test_a_pushed_list_is_never_requested():
    list_watch, host = watch()
    list_watch.on_timer(0)
    assert host.list_requests == 0 and not list_watch.is_stale


def test_the_request_is_repeated_until_the_list_arrives():
    list_watch, host = watch(list_on_request=True)
    for now in (0, MAX_REQUEST_INTERVAL - 1, MAX_REQUEST_INTERVAL):
        list_watch.on_timer(now)
    assert host.list_requests == 2 and list_watch.is_stale
    list_watch.on_server_list()
    list_watch.on_timer(10 * MAX_REQUEST_INTERVAL)
    assert host.list_requests == 2 and not list_watch.is_stale


def test_after_a_refusal_the_next_request_follows_within_the_interval():
    list_watch, host = watch(list_on_request=True, list_request_window=9_000)
    list_watch.on_timer(0)
    list_watch.on_failure(100)
    list_watch.on_timer(100)
    assert host.list_requests == 1
    list_watch.on_timer(100 + 3_000)
    assert host.list_requests == 2
