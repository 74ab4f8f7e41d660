"""Configurations with tenants, for tests."""

from timeline import config

KEYS = {"cuka620": ["48wuakn2ftimaj3nr26t", "ta828m82thhkmgjqnirt"], "seje681": ["9f3kq0z7m1xw5c8v2b6n"]}


def tenant(name, keys, **more):
    """A tenant in the form that operators send; `more` are further fields of its spec."""
    return {"type": "tenants", "hdr": {"name": name}, "spec": {"apikeys": [*keys], **more}}


def with_tenants(version=5, keys=KEYS, public=False, prio=1):
    """A configuration with one route and tenants, in the form that operators send."""
    configuration = config(version)
    configuration["res"][0]["spec"]["public"] = public
    configuration["res"] += [tenant(name, tenant_keys, prio=prio) for name, tenant_keys in keys.items()]
    return configuration
