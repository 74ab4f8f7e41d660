"""Compares configuration, wire formats and decisions with data recorded from the balancer of commit ae67546.

The recordings are in recorded/. Only the accessors below name the program's parts: a rename changes them and
never an expectation.
"""

import io
import json
import pathlib
import struct
import zlib

import pytest

from honeywood.balancer import configuration as program_configuration
from honeywood.balancer.benchlink import adapter, codec
from honeywood.balancer.protocol import discovery, platform
from honeywood.balancer.sections import InvalidConfiguration
from honeywood.balancer.transport.buffer import Buffer

RECORDED = pathlib.Path(__file__).parent / "recorded"

# Accessors: the recorded name of each field, and its name in the program.
METHOD_FIELDS = {
    "kind": "idempotency",
    "soft": "latency_target",
    "soft_stretch": "target_per_work",
    "deadline": "timeout",
    "utility": "utility",
    "late_utility": "overdue_utility",
    "group": "dedup_scope",
    "window": "dedup_window",
    "place": "index",
    "name": "name",
}
SETTINGS_FIELDS = {
    "seed": "seed",
    "tick": "clock_resolution",
    "zone": "zone",
    "fronts": "balancers",
    "me": "balancer_index",
    "max_picks": "max_attempts",
    "may_duplicate": "may_duplicate",
    "may_cancel": "may_cancel",
    "may_probe": "may_probe",
    "max_wait": "max_retry_after",
    "must_ask": "list_on_request",
    "ask_within": "list_request_window",
    "cold_share": "initial_capacity_share",
    "cold_time": "warm_up_time",
    "tip_multiple": "overload_multiple",
    "tip_time": "overload_window",
    "report_fields": "load_report_fields",
    "cross_price": "cross_zone_price",
    "probe_price": "probe_price",
    "caps": "caps",
    "waves": "waves",
    "free_picks": "exposure_allowance",
    "exposure_window": "exposure_window",
    "per_method": "exposure_per_method",
    "guarded_steps": "idempotent_only_steps",
    "one_way": "no_downgrade",
    "vote_rule": "vote_rule",
    "back_votes": "rollback_votes",
    "go_votes": "proceed_votes",
    "vote_life": "vote_ttl",
    "vote_wait": "vote_timeout",
    "tally_period": "platform_counts_period",
    "zones": "zones",
    "idle_close": "idle_timeout",
    "connect_within": "connect_timeout",
}
CONFIGURATION_FIELDS = {
    "name": "name",
    "listen": "listen",
    "discovery": "discovery",
    "platform": "platform",
    "news": "release",
    "known": "known",
    "sockets": "sockets",
    "memory_mb": "memory_mb",
    "settings_text": "settings_text",
    "seed": "seed",
    "fixed": "fixed",
}
EVENT_FORMATS, ACTION_FORMATS = codec.EVENTS, codec.ACTIONS


def configuration(text, environ):
    """Parse the text of a configuration file to plain values, or to the error message."""
    try:
        read = program_configuration.parse(json.loads(text), environ)
    except InvalidConfiguration as error:
        return {"refused": str(error)}
    settings = {name: getattr(read.settings, attribute) for name, attribute in SETTINGS_FIELDS.items()}
    settings["methods"] = [
        {name: getattr(method, attribute) for name, attribute in METHOD_FIELDS.items()}
        for method in read.settings.methods
    ]
    return {
        "settings": settings,
        **{name: getattr(read, attribute) for name, attribute in CONFIGURATION_FIELDS.items()},
    }


def buffered(data):
    buffer = Buffer()
    buffer.add(data)
    return buffer


def parse_platform(form, data, steps):
    words = platform.read_line(buffered(data))
    if words is None:
        return None
    return {
        "state": lambda: platform.parse_update(words, steps),
        "reply": lambda: platform.parse_reply(words, steps),
        "bare": lambda: platform.parse_reply(words, steps, bare=True),
        "tally": lambda: platform.parse_counts(words),
        "flag": lambda: platform.parse_incorrect_answer(words),
        "words": lambda: words,
    }[form]()


def platform_line(form, data, steps):
    try:
        return parse_platform(form, data, steps)
    except platform.InvalidLine as error:
        return {"refused": str(error)}


def discovery_line(data):
    try:
        return discovery.parse_line(data)
    except discovery.InvalidList as error:
        return {"refused": str(error)}


def written_lines():
    return [
        platform.SUBSCRIBE.decode(),
        *(platform.ballot(41, step, verdict).decode() for step, verdict in enumerate(sorted(platform.VOTES))),
        discovery.watch_target(41),
    ]


def event_fields(code, record):
    return codec.fields(code, record)


def actions(calls):
    """Serialize actions, each (instance, code, values, text or None), to a frame."""
    reply = codec.Reply()
    for instance, code, values, text in calls:
        reply.add(instance, code, *values, text=text)
    return reply.frame()


def server_entries(tail, start, count):
    return codec.entries(tail, start, count)


def answer(process, frame):
    return process.answer(*codec.read_frame(frame)).frame()


def bench_host():
    return adapter.Process()


# Tests with the recorded cases.
def recorded(name):
    return json.loads((RECORDED / name).read_text())


def plain(value):
    """Convert a value as JSON does: tuples become lists."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("case", recorded("configuration.json"), ids=lambda case: case["name"])
def test_a_configuration_is_read_or_refused_as_recorded(case):
    assert plain(configuration(case["text"], case["environ"])) == case["read"]


@pytest.mark.parametrize("case", recorded("platform_lines.json"), ids=lambda case: case["line"][:40])
def test_a_line_of_the_platform_is_parsed_as_recorded(case):
    line = case["line"].encode("latin-1")
    assert plain(platform_line(case["form"], line, case["steps"])) == case["read"]


@pytest.mark.parametrize("case", recorded("discovery_lines.json"), ids=lambda case: case["line"][:40])
def test_a_line_of_discovery_is_parsed_as_recorded(case):
    assert plain(discovery_line(case["line"].encode("latin-1"))) == case["read"]


def test_lines_are_written_as_recorded():
    assert written_lines() == recorded("written_lines.json")


def test_records_of_the_bench_have_the_recorded_layout():
    saved = recorded("bench_records.json")
    assert {str(code) for code in EVENT_FORMATS} == set(saved["events"])
    for code, case in saved["events"].items():
        record = bytes.fromhex(case["record"])
        assert plain(event_fields(int(code), record)) == case["fields"]
        packed = struct.pack(">H", int(code)) + EVENT_FORMATS[int(code)].pack(*case["fields"])[2:]
        assert packed.ljust(40, b"\0") == record
    assert {str(code) for code in ACTION_FORMATS} == {str(call[1]) for call in saved["actions"]} | {"68"}
    assert actions(saved["actions"]).hex() == saved["frame"]
    tail = bytes.fromhex(saved["tail"])
    assert plain(server_entries(tail, 3, 2)) == saved["entries"]


def conversation():
    """Yield the frames of a recorded conversation in order: (request of the bench, reply)."""
    data, at = zlib.decompress((RECORDED / "bench_conversation.zlib").read_bytes()), 0
    while at < len(data):
        parts = []
        for _ in range(2):
            (size,) = struct.unpack_from(">I", data, at)
            parts.append(data[at + 4 : at + 4 + size])
            at += 4 + size
        yield parts


def test_the_decisions_answer_a_recorded_conversation_with_the_same_bytes():
    process, frames = bench_host(), 0
    for sent, answered in conversation():
        assert answer(process, io.BytesIO(sent)) == answered, f"frame {frames}"
        frames += 1
    assert frames > 1000
