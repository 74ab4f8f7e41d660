"""Customers (tenants) and their keys: which configurations are taken, and what a key does to a request."""

import asyncio
import json

from socket_scene import HEAD, Scene, ok, play, status
from timeline import World, config
from ward import each, raises, test

from honeywood.gateway.configuration import config as configuration
from honeywood.gateway.configuration.outcome import Wrong
from honeywood.gateway.configuration.tenants import hash_key

KEYS = {"cuka620": ["48wuakn2ftimaj3nr26t", "ta828m82thhkmgjqnirt"], "seje681": ["9f3kq0z7m1xw5c8v2b6n"]}
LINE = b"GET /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: id1\r\nX-Deadline-Ms: 600\r\n"


def tenant(name, keys, **more):
    """A tenant as operators send it."""
    return {"type": "tenants", "hdr": {"name": name}, "spec": {"apikeys": [*keys], **more}}


def with_tenants(version=5, keys=KEYS, public=False, prio=1):
    """A configuration of one route and tenants."""
    sent = config(version)
    sent["res"][0]["spec"]["public"] = public
    sent["res"] += [tenant(name, of, prio=prio) for name, of in keys.items()]
    return sent


class TenantScene(Scene):
    """A scene whose configuration holds tenants."""

    def __init__(self, *scripts, public=False):
        super().__init__(*scripts)
        self.public = public

    def configuration(self):
        return with_tenants(public=self.public)


@test("a configuration with tenants is read: their names, priorities and the routes that are public")
def _():
    read = configuration.read(json.dumps(with_tenants(public=True)).encode())
    assert {tenant.name: tenant.priority for tenant in read.tenants} == dict.fromkeys(KEYS, 1)
    assert [route.public for route in read.routes] == [True]


@test("a request with a known key goes to a machine with its tenant's name, and without the key")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            key = KEYS["cuka620"][1].encode()
            assert status(await scene.raw(LINE + b"X-Api-Key: %s\r\n\r\n" % key)) == 200
            head, fields, _ = scene.machines[0].seen[0]
            assert fields[b"x-tenant"] == b"cuka620"
            assert key not in head.lower() and b"x-api-key" not in head.lower()

    play(work)


A, B, MOVED = (KEYS["cuka620"][0], KEYS["seje681"][0], KEYS["cuka620"][1])


def get(*headers, id=b"id1"):
    """A request with headers beside its own."""
    line = LINE.replace(b"id1", id)
    return line + b"".join(b"%s\r\n" % header for header in headers) + b"\r\n"


def key_header(key, name=b"X-Api-Key"):
    return name + b": " + key.encode()


@test("a request that shows {headers} gets {told}, on a public route {public}")
def _(
    headers=each(
        (),
        (key_header("unknown"),),
        (key_header(""),),
        (key_header(A + ", " + A),),
        (key_header(A), key_header(B)),
        (key_header(A), key_header(A)),
        (b"X-Tenant: cuka620",),
        (key_header(A),),
        (key_header(A, b"x-ApI-kEy"),),
    ),
    told=each(*[401] * 7, 200, 200),
    public=each(*[200] * 9),
):
    async def work():
        async with TenantScene([ok]) as scene:
            found = await scene.raw(get(*headers))
            assert status(found) == told
            assert bool(scene.machines[0].seen) == (told == 200)
            refused = scene.proxy.counters.counts["not forwarded: no known key"]
            assert refused == (told == 401)
        async with TenantScene([ok], public=True) as scene:
            assert status(await scene.raw(get(*headers))) == public
            head, fields, _ = scene.machines[0].seen[0]
            assert b"x-api-key" not in head.lower()
            assert fields.get(b"x-tenant") == (b"cuka620" if told == 200 else None)

    play(work)


@test("whatever a client says of tenants, the machine hears its key's owner, once: {said}")
def _(
    said=each(
        (b"X-Tenant: seje681",),
        (b"X-Tenant: seje681", b"X-Tenant: other"),
        (b"x-TENANT: seje681",),
        (b"X-Tenant: seje681, other",),
        (b"Connection: x-tenant", b"X-Tenant: seje681"),
        (b"Connection: x-api-key",),
    )
):
    async def work():
        async with TenantScene([ok]) as scene:
            assert status(await scene.raw(get(key_header(A), *said))) == 200
            head, fields, _ = scene.machines[0].seen[0]
            assert head.lower().count(b"x-tenant:") == 1 and fields[b"x-tenant"] == b"cuka620"

    play(work)


@test("a folded header of tenants is refused before a byte goes on")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            assert status(await scene.raw(get(key_header(A), b"X-Tenant:\r\n seje681"))) == 400
            assert not scene.machines[0].seen

    play(work)


@test("without tenants in the configuration both headers go on as they came")
def _():
    async def work():
        async with Scene([ok]) as scene:
            assert status(await scene.raw(get(key_header("any"), b"X-Tenant: any"))) == 200
            _, fields, _ = scene.machines[0].seen[0]
            assert fields[b"x-api-key"] == fields[b"x-tenant"] == b"any"

    play(work)


@test("on one open connection a key moves to another tenant, then is taken away")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)

            async def ask(id):
                writer.write(get(key_header(MOVED), id=id))
                head = await reader.readuntil(b"\r\n\r\n")
                if b" 200 " in head:
                    await reader.readexactly(2)
                return status(head)

            assert await ask(b"a") == 200
            scene.configure(with_tenants(6, {"cuka620": [A], "seje681": [B, MOVED]}))
            assert await ask(b"b") == 200
            scene.configure(with_tenants(7, {"cuka620": [A], "seje681": [B]}))
            assert await ask(b"c") == 401
            owners = [fields[b"x-tenant"] for _, fields, _ in scene.machines[0].seen]
            assert owners == [b"cuka620", b"seje681"]
            writer.close()

    play(work)


@test("a key that is taken away while a request's body comes still names its owner at the machine")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(get(key_header(A), b"Content-Length: 4").replace(b"GET", b"POST") + b"bo")
            await asyncio.sleep(0.05)
            scene.configure(with_tenants(6, {"seje681": [B]}))
            writer.write(b"dy")
            assert status(await reader.readuntil(b"\r\n\r\n")) == 200
            assert scene.machines[0].seen[0][1][b"x-tenant"] == b"cuka620"
            writer.close()

    play(work)


@test("requests behind one another are each judged by their own key, and answered in order")
def _():
    async def work():
        async def with_id(id, writer):
            writer.write(HEAD % id + b"ok")

        async with TenantScene([with_id]) as scene:
            shown = {b"a": A, b"b": "unknown", b"c": B}
            sent = b"".join(get(key_header(key), id=id) for id, key in shown.items())
            reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(sent)
            found = b""
            while found.count(b"HTTP/1.1 ") < 3:
                found += await reader.read(65536)
            assert [int(part[:3]) for part in found.split(b"HTTP/1.1 ")[1:]] == [200, 401, 200]
            owners = {fields[b"x-try-id"]: fields[b"x-tenant"] for _, fields, _ in scene.machines[0].seen}
            assert owners == {b"a": b"cuka620", b"c": b"seje681"}
            writer.close()

    play(work)


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
    with raises(Wrong) as refused:
        configuration.read(json.dumps(sent).encode())
    assert why in str(refused.raised)
    assert not any(key in str(refused.raised) for keys in KEYS.values() for key in keys)


@test("one tenant may hold a key twice, or none; fields that are not known are skipped")
def _():
    sent = with_tenants(keys={"cuka620": [A, A], "seje681": []})
    sent["res"][2]["spec"]["quota"] = {"per_s": 5}
    read = configuration.read(json.dumps(sent).encode())
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
        for text in map(configuration.unpack, stores):
            assert not any(key.encode() in text for keys in KEYS.values() for key in keys)
    finally:
        world.close()


@test("a kind of item whose letters are escaped is told to proxies without its keys too")
def _():
    escaped = json.dumps(with_tenants()).replace('"tenants"', '"\\u0074enants"')
    told = configuration.unpack(configuration.for_proxies(configuration.pack(escaped.encode())))
    assert not any(key.encode() in told for keys in KEYS.values() for key in keys)
    assert {tenant.name for tenant in configuration.read(told, hashed=True).tenants} == set(KEYS)
