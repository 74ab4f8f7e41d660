"""Settings, configurations and their stored records, compared with recordings of revision ae67546.

The recordings under recorded/ are never edited, because files and records in their form exist. When a name in
the code changes, only the accessors below change with it.
"""

import json
from pathlib import Path

from ward import each, test

from honeywood.gateway.configuration import packing, record
from honeywood.gateway.configuration.addresses import parse_address
from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.configuration.settings import BOUND_NAMES, read_settings
from honeywood.gateway.configuration.tenants import hash_key
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.rpc.statuses import status_of

RECORDED = json.loads((Path(__file__).parent / "recorded" / "configuration.json").read_text())


# Accessors: all uses of names from the code under test.


def error_fields(error):
    """The fields of an error: [operation, reason, peer, status, text]."""
    return [error.operation, error.reason, error.peer, status_of(error), str(error)]


def result_or_error(function, *args):
    """The outcome of a call: {"result": value} or {"error": its fields}."""
    try:
        return {"result": function(*args)}
    except GatewayError as error:
        return {"error": error_fields(error)}


def settings_fields(text):
    """The fields of a settings file by their keys in it; computed ones are under `derived`."""
    found = read_settings(text)
    return {
        "node": found.node,
        "role": found.role,
        "ip": found.ip,
        "zone": found.zone,
        "seeds": [list(seed) for seed in found.seeds],
        "fresh": found.fresh,
        "datadir": found.data_directory,
        "port_range": list(found.port_range),
        "listen": {key: list(address) for key, address in found.listen.addresses.items()},
        "bounds": {name: getattr(found.bounds, name) for name in BOUND_NAMES},
        "tolerate.machines": found.tolerated_failures,
        "limits.nofile": found.max_open_files,
        "limits.mem_mb": found.memory_mb,
        "beat_s": found.heartbeat_interval_s,
        "derived": {
            "link_bytes_per_s": found.link_bytes_per_s,
            "proxy_port": found.proxy_port,
            "controller_port": found.controller_port,
        },
    }


def configuration_fields(raw, hashed=False):
    """The parts of a configuration by their keys in it."""
    found = read_configuration(raw, "192.0.2.7", hashed)
    limits = found.limits
    return {
        "ver": found.version,
        "routes": [_route_fields(route) for route in found.routes],
        "svcs": [
            [name, service.name, service.health_check_path, service.max_connections]
            for name, service in found.services.items()
        ],
        "limits": [limits.header_bytes, limits.body_bytes, limits.header_s, limits.idle_s],
        "tenants": [
            [tenant.name, [key.hex() for key in tenant.key_hashes], tenant.priority]
            for tenant in found.tenants
        ],
    }


def _route_fields(route):
    return {
        "name": route.name,
        "vhost": route.host,
        "pfx": route.prefix,
        "kind": route.kind,
        "may run twice": route.idempotent,
        "timeout_s": route.timeout_s,
        "target_s": route.latency_target_s,
        "prio": route.priority,
        "tries": route.max_attempts,
        "split": [list(part) for part in route.split],
        "public": route.public,
    }


def pack(raw):
    """The stored text of a configuration's bytes."""
    return packing.pack(raw)


def unpack(text):
    """The bytes of a stored text, one character per byte."""
    return packing.unpack(text, "192.0.2.7").decode("latin-1")


def packed_for_proxies(text):
    """The packed text that proxies receive for a stored text."""
    return packing.pack_for_proxies(text)


def content_digest(raw):
    """The digest of a configuration's bytes."""
    return record.content_digest(raw)


def order_outcome(stored, version, digest):
    """The outcome of an order as operators read it, or None."""
    current = None if stored is None else record.decode(stored)
    return record.order_outcome(current, version, digest)


def stored_after_order(stored, version, text, digest):
    """The stored record after an order."""
    return record.update_stored(stored, version, text, digest)


def to_json(value):
    """A value as JSON text, which distinguishes 1 from 1.0 and keeps the order of keys."""
    return json.dumps(value)


def raw_bytes(case):
    """The bytes of a case, recorded as text with one character per byte."""
    return case["raw"].encode("latin-1")


# Tests


def case_numbers(kind):
    """The numbers of the recorded cases of a kind."""
    return each(*range(len(RECORDED[kind])))


@test("settings file {number} gives the recorded fields, or the recorded error")
def _(number=case_numbers("settings")):
    case = RECORDED["settings"][number]
    assert to_json(result_or_error(settings_fields, case["text"])) == to_json(case["found"])


@test("configuration {number} gives the recorded parts, or the recorded error")
def _(number=case_numbers("configurations")):
    case = RECORDED["configurations"][number]
    found = result_or_error(configuration_fields, raw_bytes(case), case["hashed"])
    assert to_json(found) == to_json(case["found"])


@test("stored text {number} is unpacked to the recorded bytes, or rejected as recorded")
def _(number=case_numbers("packed")):
    case = RECORDED["packed"][number]
    assert to_json(result_or_error(unpack, case["text"])) == to_json(case["found"])


@test("configuration {number} is packed, digested and passed to proxies as recorded")
def _(number=case_numbers("stored")):
    case = RECORDED["stored"][number]
    raw = raw_bytes(case)
    assert pack(raw) == case["packed"]
    assert unpack(case["packed"]).encode("latin-1") == raw
    assert content_digest(raw) == case["digest"]
    assert packed_for_proxies(case["packed"]) == case["for proxies"]
    assert unpack(case["for proxies"]) == case["unpacked for proxies"]


@test("order {number} has the recorded outcome, and leaves the recorded stored record")
def _(number=case_numbers("orders")):
    case = RECORDED["orders"][number]
    stored, version, text, digest = (case[key] for key in ("stored", "version", "text", "digest"))
    before = None if stored is None else json.loads(stored)
    assert order_outcome(before, version, digest) == case["outcome before"]
    after = stored_after_order(before, version, text, digest)
    assert to_json(after) == case["stored after"]
    assert order_outcome(json.loads(to_json(after)), version, digest) == case["outcome after"]
    assert stored is None or to_json(before) == stored


@test("address {number} is parsed, or rejected, as recorded")
def _(number=case_numbers("addresses")):
    case = RECORDED["addresses"][number]
    found = result_or_error(lambda: list(parse_address(case["text"], "settings: seeds", "192.0.2.7")))
    assert to_json(found) == to_json(case["found"])


@test("JSON text {number} is parsed, or rejected, as recorded")
def _(number=case_numbers("json")):
    case = RECORDED["json"][number]
    found = result_or_error(read_json, raw_bytes(case), "some call", "192.0.2.7")
    assert to_json(found) == to_json(case["found"])


@test("key {number} has the recorded hash")
def _(number=case_numbers("keys")):
    case = RECORDED["keys"][number]
    assert hash_key(case["key"].encode()).hex() == case["hash"]
