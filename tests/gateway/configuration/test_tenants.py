"""Tenants and their keys in configurations."""

import json

from tenant_fixtures import KEYS, with_tenants
from timeline import World
from ward import each, raises, test

from honeywood.gateway.configuration.packing import pack, pack_for_proxies, unpack
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.configuration.tenants import hash_key
from honeywood.gateway.errors import InvalidInput

FIRST_KEY = KEYS["cuka620"][0]


@test("tenants' names, their priorities and the routes that are public are parsed")
def _():
    read = read_configuration(json.dumps(with_tenants(public=True)).encode())
    assert {tenant.name: tenant.priority for tenant in read.tenants} == dict.fromkeys(KEYS, 1)
    assert [route.public for route in read.routes] == [True]


@test("rejected with an error that never contains a key: {reason}")
def _(
    reason=each(
        "tenants cuka620 and seje681 share a key",
        "apikeys is missing",
        "apikeys must be list, not str",
        "apikeys holds what can't stand in a header",
        "apikeys holds what can't stand in a header",
        "apikeys holds what can't stand in a header",
        "prio is out of bounds: -1",
        "the name can't stand in a header",
        "stands twice",
        "public must be bool, not int",
    ),
    change=each(
        lambda sent: sent["res"][3]["spec"]["apikeys"].append(FIRST_KEY),
        lambda sent: sent["res"][3]["spec"].pop("apikeys"),
        lambda sent: sent["res"][3]["spec"].update(apikeys=FIRST_KEY),
        lambda sent: sent["res"][3]["spec"]["apikeys"].append(FIRST_KEY + "\n"),
        lambda sent: sent["res"][3]["spec"]["apikeys"].append(7),
        lambda sent: sent["res"][3]["spec"]["apikeys"].append(""),
        lambda sent: sent["res"][3]["spec"].update(prio=-1),
        lambda sent: sent["res"][3]["hdr"].update(name="a\r\nb"),
        lambda sent: sent["res"][3]["hdr"].update(name="cuka620"),
        lambda sent: sent["res"][0]["spec"].update(public=1),
    ),
):
    sent = with_tenants()
    change(sent)
    with raises(InvalidInput) as rejection:
        read_configuration(json.dumps(sent).encode())
    assert reason in str(rejection.raised)
    assert not any(key in str(rejection.raised) for keys in KEYS.values() for key in keys)


@test("a tenant may have a key twice, or no key; unknown fields are ignored")
def _():
    sent = with_tenants(keys={"cuka620": [FIRST_KEY, FIRST_KEY], "seje681": []})
    sent["res"][2]["spec"]["quota"] = {"per_s": 5}
    read = read_configuration(json.dumps(sent).encode())
    assert [tenant.key_hashes for tenant in read.tenants] == [(hash_key(FIRST_KEY.encode()),), ()]


@test("operators read their configuration back with its keys; copies for proxies hold only hashes")
def _():
    world = World("abc", "f")
    for name in ("a", "b", "c", "f"):
        world.start(name)
    try:
        world.run(2.0)
        sent, responses = with_tenants(7), {}

        async def operate():
            responses["put"] = await world.ask("a", "config.replace", body=sent)
            responses["read"] = await world.ask("b", "config.read")

        world.loop.create_task(operate())
        world.run(4.0)
        assert (responses["put"][0], responses["read"][0]) == (200, 200), responses
        assert json.loads(responses["read"][1]) == sent
        proxy = world.nodes["f"]
        table = proxy.configuration.table
        assert table.version == 7 and table.tenants.find(FIRST_KEY.encode()).name == b"cuka620"
        stores = [world.nodes[name].publisher.store.get("config") for name in ("a", "b", "c", "f")]
        for text in map(unpack, stores):
            assert not any(key.encode() in text for keys in KEYS.values() for key in keys)
    finally:
        world.close()


@test("keys are also hashed for proxies if the letters of the item's type are escaped")
def _():
    escaped = json.dumps(with_tenants()).replace('"tenants"', '"\\u0074enants"')
    unpacked = unpack(pack_for_proxies(pack(escaped.encode())))
    assert not any(key.encode() in unpacked for keys in KEYS.values() for key in keys)
    assert {tenant.name for tenant in read_configuration(unpacked, hashed_keys=True).tenants} == set(KEYS)
