"""Which requests are admitted, and what is forwarded to endpoints about their tenants."""

import asyncio

from socket_scene import HEAD, Scene, ok, play, status
from tenant_fixtures import KEYS, with_tenants
from ward import each, test

REQUEST_START = b"GET /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: id1\r\nX-Deadline-Ms: 48000\r\n"


AMPLE_TARGET_S, AMPLE_TIMEOUT_S = 20.0, 48.0  # in the same proportion as in other scenes


class TenantScene(Scene):
    """A scene whose configuration has tenants."""

    def __init__(self, *scripts, public=False):
        super().__init__(*scripts)
        self.public = public

    def configuration(self):
        sent = with_tenants(public=self.public)
        for item in sent["res"]:
            if item["type"] == "routes":  # these tests are about keys and must not time out on a busy machine
                item["spec"] |= {"timeout_s": AMPLE_TIMEOUT_S, "target_s": AMPLE_TARGET_S}
        return sent


@test("a request with a known key is forwarded with its tenant's name and without the key")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            key = KEYS["cuka620"][1].encode()
            assert status(await scene.raw(REQUEST_START + b"X-Api-Key: %s\r\n\r\n" % key)) == 200
            head, fields, _ = scene.machines[0].seen[0]
            assert fields[b"x-tenant"] == b"cuka620"
            assert key not in head.lower() and b"x-api-key" not in head.lower()

    play(work)


KEY_A, KEY_B, MOVED_KEY = (KEYS["cuka620"][0], KEYS["seje681"][0], KEYS["cuka620"][1])


def get(*headers, id=b"id1"):
    """A request with the id `id` and additional headers."""
    start = REQUEST_START.replace(b"id1", id)
    return start + b"".join(b"%s\r\n" % header for header in headers) + b"\r\n"


def key_header(key, name=b"X-Api-Key"):
    return name + b": " + key.encode()


@test("a request with {headers} gets {expected}, on a public route {public}")
def _(
    headers=each(
        (),
        (key_header("unknown"),),
        (key_header(""),),
        (key_header(KEY_A + ", " + KEY_A),),
        (key_header(KEY_A), key_header(KEY_B)),
        (key_header(KEY_A), key_header(KEY_A)),
        (b"X-Tenant: cuka620",),
        (key_header(KEY_A),),
        (key_header(KEY_A, b"x-ApI-kEy"),),
    ),
    expected=each(*[401] * 7, 200, 200),
    public=each(*[200] * 9),
):
    async def work():
        async with TenantScene([ok]) as scene:
            found = await scene.raw(get(*headers))
            assert status(found) == expected
            assert bool(scene.machines[0].seen) == (expected == 200)
            rejected = scene.proxy.counters.counts["not forwarded: no known key"]
            assert rejected == (expected == 401)
        async with TenantScene([ok], public=True) as scene:
            assert status(await scene.raw(get(*headers))) == public
            head, fields, _ = scene.machines[0].seen[0]
            assert b"x-api-key" not in head.lower()
            assert fields.get(b"x-tenant") == (b"cuka620" if expected == 200 else None)

    play(work)


@test("whatever tenant headers a client sends, the machine gets the tenant of its key, once: {headers}")
def _(
    headers=each(
        (b"X-Tenant: seje681",),
        (b"X-Tenant: seje681", b"X-Tenant: other"),
        (b"x-TENANT: seje681",),
        (b"X-Tenant: seje681, other",),
        (b"Connection: x-tenant", b"X-Tenant: seje681"),
        (b"Connection: x-api-key",),
    ),
):
    async def work():
        async with TenantScene([ok]) as scene:
            assert status(await scene.raw(get(key_header(KEY_A), *headers))) == 200
            head, fields, _ = scene.machines[0].seen[0]
            assert head.lower().count(b"x-tenant:") == 1 and fields[b"x-tenant"] == b"cuka620"

    play(work)


@test("a folded X-Tenant header is rejected before anything is forwarded")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            assert status(await scene.raw(get(key_header(KEY_A), b"X-Tenant:\r\n seje681"))) == 400
            assert not scene.machines[0].seen

    play(work)


@test("without tenants in the configuration both headers are forwarded unchanged")
def _():
    async def work():
        async with Scene([ok]) as scene:
            assert status(await scene.raw(get(key_header("any"), b"X-Tenant: any"))) == 200
            _, fields, _ = scene.machines[0].seen[0]
            assert fields[b"x-api-key"] == fields[b"x-tenant"] == b"any"

    play(work)


@test("a key that moves to another tenant, then is removed, takes effect on an open connection")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)

            async def send(id):
                writer.write(get(key_header(MOVED_KEY), id=id))
                head = await reader.readuntil(b"\r\n\r\n")
                if b" 200 " in head:
                    await reader.readexactly(2)
                return status(head)

            assert await send(b"a") == 200
            scene.configure(with_tenants(6, {"cuka620": [KEY_A], "seje681": [KEY_B, MOVED_KEY]}))
            assert await send(b"b") == 200
            scene.configure(with_tenants(7, {"cuka620": [KEY_A], "seje681": [KEY_B]}))
            assert await send(b"c") == 401
            owners = [fields[b"x-tenant"] for _, fields, _ in scene.machines[0].seen]
            assert owners == [b"cuka620", b"seje681"]
            writer.close()

    play(work)


@test("a key that is removed while a request's body is read still names its tenant")
def _():
    async def work():
        async with TenantScene([ok]) as scene:
            reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(get(key_header(KEY_A), b"Content-Length: 4").replace(b"GET", b"POST") + b"bo")
            await asyncio.sleep(0.05)
            scene.configure(with_tenants(6, {"seje681": [KEY_B]}))
            writer.write(b"dy")
            assert status(await reader.readuntil(b"\r\n\r\n")) == 200
            assert scene.machines[0].seen[0][1][b"x-tenant"] == b"cuka620"
            writer.close()

    play(work)


@test("pipelined requests are each admitted by their own key, and answered in order")
def _():
    async def work():
        async def with_id(id, writer):
            writer.write(HEAD % id + b"ok")

        async with TenantScene([with_id]) as scene:
            keys = {b"a": KEY_A, b"b": "unknown", b"c": KEY_B}
            sent = b"".join(get(key_header(key), id=id) for id, key in keys.items())
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
