"""Invalid configurations are rejected as a whole; errors name the key and the item."""

import copy
import json

from hypothesis import given, settings
from hypothesis import strategies as st
from timeline import config
from ward import each, raises, test

from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.configuration.route_cache import RouteCache
from honeywood.gateway.errors import InvalidInput


def refused(raw):
    """The text of the error that rejects a configuration, or None if it is accepted."""
    try:
        read_configuration(raw if isinstance(raw, bytes) else json.dumps(raw).encode(), "op")
    except InvalidInput as error:
        return str(error)
    return None


def modified_configuration(change):
    """A valid configuration after `change` was applied to it and the specs of its two routes."""
    sent = config(7, routes=2)
    change(sent, sent["res"][0]["spec"], sent["res"][1]["spec"])
    return sent


def unknown_service(sent, spec, _):
    spec["svc"] = "nowhere"


def duplicate_prefix(sent, spec, other):
    spec["pfx"] = other["pfx"]


def negative_weight(sent, spec, _):
    spec["split"] = [{"svc": "s", "wt": -1}]
    del spec["svc"]


def zero_weight(sent, spec, _):
    spec["split"] = [{"svc": "s", "wt": 0}]
    del spec["svc"]


def unknown_kind(sent, spec, _):
    spec["kind"] = "harmless"


def missing_timeout(sent, spec, _):
    del spec["timeout_s"]


def text_for_a_number(sent, spec, _):
    spec["tries"] = "2"


def bool_for_a_number(sent, spec, _):
    spec["timeout_s"] = True


def list_for_an_item(sent, spec, _):
    sent["res"][0] = [sent["res"][0]]


def duplicate_name(sent, spec, _):
    sent["res"][1]["hdr"]["name"] = sent["res"][0]["hdr"]["name"]


def unknown_type(sent, spec, _):
    sent["res"][0]["type"] = "widgets"


def number_for_a_version(sent, spec, _):
    sent["ver"] = 7


@test("a configuration with {change.__name__} is rejected, and the error names {named}")
def _(
    change=each(
        unknown_service,
        duplicate_prefix,
        negative_weight,
        zero_weight,
        unknown_kind,
        missing_timeout,
        text_for_a_number,
        bool_for_a_number,
        list_for_an_item,
        duplicate_name,
        unknown_type,
        number_for_a_version,
    ),
    named=each(
        "nowhere",
        "is taken",
        "wt",
        "weight",
        "kind",
        "timeout_s",
        "tries",
        "timeout_s",
        "res[0]",
        "r0",
        "widgets",
        "ver",
    ),
):
    reason = refused(modified_configuration(change))
    assert reason and named in reason and "config.replace" in reason
    assert refused(config(7, routes=2)) is None


@test("bytes that hold no complete configuration are rejected: {raw!r}")
def _(
    raw=each(
        b"",
        b"[]",
        b"nil",
        json.dumps(config(7)).encode()[:-9],
        b'{"ver":"00000007","ver":"00000008","res":[]}',
        b'{"ver":"00000007","res":[],"x":NaN}',
        b"[" * 100000,
        b"\xff\xfe{}",
        b'{"ver":"00000007"}',
    ),
):
    assert refused(raw)


@test("an unpaired surrogate is rejected however it is written: {notation}")
def _(notation=each("escaped", "escaped in capitals", "raw")):
    # A host with an unpaired surrogate was once accepted and acknowledged; no proxy could build its route
    # table from it, and all kept the older version. A complete pair and an escaped backslash are valid text.
    def with_host(text):
        return json.dumps(config(7, routes=1)).encode().replace(b'"vhost": "', b'"vhost": "' + text)

    unpaired_surrogates = {"escaped": rb"\ud800", "escaped in capitals": rb"\uD800", "raw": b"\xed\xa0\x80"}
    assert refused(with_host(unpaired_surrogates[notation]))
    assert refused(with_host(rb"\ud83d\ude00")) is None and refused(with_host(rb"\\ud800")) is None


@test("100,000 routes are rejected as a whole if the last one is invalid")
def _():
    sent = config(7, routes=100000)
    sent["res"][99999]["spec"]["kind"] = "harmless"
    assert "r99999" in refused(sent)


JUNK = st.one_of(
    st.none(), st.booleans(), st.integers(-5, 5), st.floats(), st.text(max_size=3), st.just([]), st.just({})
)


@test("with junk in place of any part, a configuration is accepted or raises InvalidInput, nothing else")
def _():
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6), JUNK)
    def tried(at, junk):
        sent, places = copy.deepcopy(config(7, routes=2)), []

        def walk(part):
            for key in part if isinstance(part, dict) else range(len(part)):
                places.append((part, key))
                if isinstance(part[key], dict | list):
                    walk(part[key])

        walk(sent)
        part, key = places[at % len(places)]
        part[key] = junk
        refused(sent)

    tried()


@test("a route read with a cache is the one read without it, also if only a type differs: {value!r}")
def _(value=each(1, 1.0, True, 2, "1", None)):
    cache = RouteCache()
    read_configuration(json.dumps(config(7, routes=3)).encode(), route_cache=cache)
    sent = modified_configuration(lambda sent, spec, _: spec.update(tries=value, timeout_s=value))
    outcomes = []
    for route_cache in (None, cache):
        try:
            outcomes.append(read_configuration(json.dumps(sent).encode(), route_cache=route_cache))
        except InvalidInput as error:
            outcomes.append(str(error))
    assert outcomes[0] == outcomes[1]


@test(
    "unchanged routes are not read again, and those that are gone are not kept, also after an invalid order"
)
def _():
    cache = RouteCache()
    first = read_configuration(json.dumps(config(7, routes=3)).encode(), route_cache=cache)
    sent = modified_configuration(lambda sent, spec, other: other.update(timeout_s=0.7))
    second = read_configuration(json.dumps(sent).encode(), route_cache=cache)
    assert second.routes[0] is first.routes[0] and second.routes[1] != first.routes[1]
    assert len(cache) == 2
    with raises(InvalidInput):
        broken = modified_configuration(
            lambda sent, spec, other: (spec.update(tries=9), other.update(timeout_s=-1))
        )
        read_configuration(json.dumps(broken).encode(), route_cache=cache)
    third = read_configuration(json.dumps(sent).encode(), route_cache=cache)
    assert third.routes[0] is first.routes[0] and third.routes[1] is second.routes[1] and len(cache) == 2
