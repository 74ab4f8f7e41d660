"""Configurations with tenants, for tests."""

from timeline import config

KEYS = {"cuka620": ["48wuakn2ftimaj3nr26t", "ta828m82thhkmgjqnirt"], "seje681": ["9f3kq0z7m1xw5c8v2b6n"]}


def tenant(name, keys, **more):
    """A tenant as operators send it."""
    return {"type": "tenants", "hdr": {"name": name}, "spec": {"apikeys": [*keys], **more}}


def with_tenants(version=5, keys=KEYS, public=False, prio=1):
    """A configuration of one route and tenants."""
    sent = config(version)
    sent["res"][0]["spec"]["public"] = public
    sent["res"] += [tenant(name, of, prio=prio) for name, of in keys.items()]
    return sent
