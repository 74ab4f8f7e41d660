"""Tenants and their keys in configurations."""

import json

from tenant_fixtures import KEYS, with_tenants
from timeline import World
from ward import each, raises, test

from honeywood.gateway.configuration.packing import pack, pack_for_proxies, unpack
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.configuration.tenants import hash_key
from honeywood.gateway.errors import InvalidInput

A = KEYS["cuka620"][0]


@test("a configuration with tenants is read: their names, priorities and the routes that are public")
def _():
    read = read_configuration(json.dumps(with_tenants(public=True)).encode())
    assert {tenant.name: tenant.priority for tenant in read.tenants} == dict.fromkeys(KEYS, 1)
    assert [route.public for route in read.routes] == [True]


@test("refused, and never with a key in what is told: {why}")
def _(
    why=each(
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
        lambda sent: sent["res"][3]["spec"]["apikeys"].append(A),
        lambda sent: sent["res"][3]["spec"].pop("apikeys"),
        lambda sent: sent["res"][3]["spec"].update(apikeys=A),
        lambda sent: sent["res"][3]["spec"]["apikeys"].append(A + "\n"),
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
    with raises(InvalidInput) as refused:
        read_configuration(json.dumps(sent).encode())
    assert why in str(refused.raised)
    assert not any(key in str(refused.raised) for keys in KEYS.values() for key in keys)


@test("one tenant may hold a key twice, or none; fields that are not known are skipped")
def _():
    sent = with_tenants(keys={"cuka620": [A, A], "seje681": []})
    sent["res"][2]["spec"]["quota"] = {"per_s": 5}
    read = read_configuration(json.dumps(sent).encode())
    assert [tenant.key_hashes for tenant in read.tenants] == [(hash_key(A.encode()),), ()]


@test("operators read their configuration back with its keys; what proxies hold of it has hashes only")
def _():
    world = World("abc", "f")
    for name in ("a", "b", "c", "f"):
        world.start(name)
    try:
        world.run(2.0)
        sent, told = with_tenants(7), {}

        async def operate():
            told["put"] = await world.ask("a", "config.replace", body=sent)
            told["read"] = await world.ask("b", "config.read")

        world.loop.create_task(operate())
        world.run(4.0)
        assert (told["put"][0], told["read"][0]) == (200, 200), told
        assert json.loads(told["read"][1]) == sent
        proxy = world.nodes["f"]
        table = proxy.configuration.table
        assert table.version == 7 and table.tenants.find(A.encode()).name == b"cuka620"
        stores = [world.nodes[name].publisher.store.get("config") for name in ("a", "b", "c", "f")]
        for text in map(unpack, stores):
            assert not any(key.encode() in text for keys in KEYS.values() for key in keys)
    finally:
        world.close()


@test("a kind of item whose letters are escaped is told to proxies without its keys too")
def _():
    escaped = json.dumps(with_tenants()).replace('"tenants"', '"\\u0074enants"')
    told = unpack(pack_for_proxies(pack(escaped.encode())))
    assert not any(key.encode() in told for keys in KEYS.values() for key in keys)
    assert {tenant.name for tenant in read_configuration(told, hashed_keys=True).tenants} == set(KEYS)
