"""Customers (tenants) and their keys: which configurations are taken, and what a key does to a request."""

import json

from socket_scene import Scene, ok, play, status
from timeline import config
from ward import test

from honeywood.gateway.configuration import config as configuration

KEYS = {"cuka620": ["48wuakn2ftimaj3nr26t", "ta828m82thhkmgjqnirt"], "seje681": ["9f3kq0z7m1xw5c8v2b6n"]}
LINE = b"GET /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: id1\r\nX-Deadline-Ms: 600\r\n"


def tenant(name, keys, **more):
    """A tenant as operators send it."""
    return {"type": "tenants", "hdr": {"name": name}, "spec": {"apikeys": keys, **more}}


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
