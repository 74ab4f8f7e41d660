"""A configuration as operators send it, checked whole before anything of it holds.

The text is kept as it came, packed, and told back so; what is read here are its parts.
"""

import zlib
from binascii import a2b_base64, b2a_base64
from dataclasses import dataclass

from honeywood.gateway.configuration.check import need, read_json
from honeywood.gateway.errors import InvalidConfiguration
from honeywood.gateway.configuration.tenants import (
    TENANTS,
    Tenant,
    check_keys_differ,
    read_hashed_tenant,
    read_tenant,
    with_hashed_keys,
)

STEP = "config.replace"
SAFE, UNSAFE = "safe", "unsafe"
KINDS = (SAFE, UNSAFE)
PLAIN = "{"  # begins texts that disks of before packing hold; no packed one begins so
MOST = 16 << 20  # bytes of an unpacked text
FAR = 86400.0  # seconds; longer times in a route are taken for a slip


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and prefix go. Times are seconds; `split` is [(service, weight)]."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout: float
    target: float
    priority: int  # 0 the highest
    tries: int
    split: tuple
    public: bool = False  # whether its requests need no tenant's key

    @property
    def safe(self):
        """Whether a request may run twice."""
        return self.kind == SAFE


@dataclass(frozen=True, slots=True)
class Service:
    """A service's name, the path of its health checks and the connections that one machine may have."""

    name: str
    health: str
    max_conns: int


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send (bytes) and how long it may take or be idle (seconds)."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 26
    header_s: float = 10.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Config:
    """A whole configuration: routes, services by name, what clients may do, and the tenants: where there are
    any, each request on a route that isn't public shows the key of one."""

    version: int
    routes: tuple
    services: dict
    limits: Limits
    tenants: tuple[Tenant, ...] = ()


def pack(raw):
    """The bytes of config.replace as a short text: 1,400 routes are 300 KB as sent and cross links that
    carry 300 KB a second."""
    return b2a_base64(zlib.compress(raw, 6), newline=False).decode()


def unpack(text, peer=""):
    """The bytes that were packed; raises errors.InvalidConfiguration where they aren't whole."""
    if text.startswith(PLAIN):
        return text.encode()
    try:
        reader = zlib.decompressobj()
        raw = reader.decompress(a2b_base64(text), MOST)
    except (ValueError, zlib.error) as wrong:
        raise InvalidConfiguration(STEP, f"not whole: {wrong}", peer) from None
    if not reader.eof:
        raise InvalidConfiguration(STEP, "not whole or too long", peer)
    return raw


def for_proxies(text):
    """A packed configuration as proxies are told it: packed, with hashes in place of keys."""
    raw = unpack(text)
    told = with_hashed_keys(raw)
    return text if told is raw else pack(told)


def version(text, peer=""):
    """Eight hexadecimal digits as a number."""
    if not (isinstance(text, str) and len(text) == 8 and all(c in "0123456789abcdef" for c in text.lower())):
        raise InvalidConfiguration(STEP, f"ver: {text!r} is not eight hexadecimal digits", peer)
    return int(text, 16)


def _split(spec, where):
    if "split" not in spec:
        return ((need(spec, "svc", str, where), 1.0),)
    parts = need(spec, "split", list, where)
    if not parts or not all(isinstance(part, dict) for part in parts) or "svc" in spec:
        why = "split must be a list of services and weights, with no svc beside it"
        raise InvalidConfiguration(where, why)
    found = tuple((need(part, "svc", str, where), need(part, "wt", float, where, least=0)) for part in parts)
    if len({svc for svc, _ in found}) != len(found):
        raise InvalidConfiguration(where, "split names a service twice")
    if not sum(weight for _, weight in found) > 0:
        raise InvalidConfiguration(where, "split has no weight above 0")
    return found


def _route(name, spec, where):
    kind, prefix = need(spec, "kind", str, where), need(spec, "pfx", str, where)
    if kind not in KINDS:
        raise InvalidConfiguration(where, f"kind {kind!r} is not one of {', '.join(KINDS)}")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise InvalidConfiguration(where, f"pfx {prefix!r} must begin and end with a slash")
    host = need(spec, "vhost", str, where)
    if not host or host != host.strip():
        raise InvalidConfiguration(where, "vhost is empty or padded")
    timeout = need(spec, "timeout_s", float, where, least=0, most=FAR)
    if not timeout > 0:
        raise InvalidConfiguration(where, "timeout_s must be above 0")
    return Route(
        name,
        host.lower(),
        prefix,
        kind,
        timeout,
        need(spec, "target_s", float, where, timeout, least=0, most=FAR),
        need(spec, "prio", int, where, 0, least=0),
        need(spec, "tries", int, where, 1, least=1),
        _split(spec, where),
        need(spec, "public", bool, where, False),
    )


def _service(name, spec, where):
    proto, tls = need(spec, "proto", str, where, "h1"), need(spec, "tls", bool, where, False)
    if proto != "h1" or tls:
        raise InvalidConfiguration(where, "only proto h1 without tls is spoken")
    return Service(name, need(spec, "hc_path", str, where, "/"), need(spec, "max_conns", int, where, least=1))


def _limits(name, spec, where):
    return Limits(
        need(spec, "hdr_bytes", int, where, 16384, least=256),
        need(spec, "body_bytes", int, where, 1 << 26, least=0),
        need(spec, "hdr_s", float, where, 10.0, least=0.001, most=FAR),
        need(spec, "idle_s", float, where, 15.0, least=0.001, most=FAR),
    )


READERS = {"routes": _route, "svcs": _service, "limits": _limits, TENANTS: read_tenant}
HASHED_READERS = {**READERS, TENANTS: read_hashed_tenant}


def read(raw, peer="", hashed=False):
    """A Config out of the bytes of config.replace, or with `hashed` of what proxies are told of one; raises
    errors.InvalidConfiguration naming entry and key."""
    table, readers = read_json(raw, STEP, peer), HASHED_READERS if hashed else READERS
    number, found = version(table.get("ver"), peer), {kind: {} for kind in readers}
    for at, entry in enumerate(need(table, "res", list, STEP)):
        where = f"{STEP}: res[{at}]"
        if not isinstance(entry, dict):
            raise InvalidConfiguration(where, "must be an object", peer)
        kind, header = need(entry, "type", str, where), need(entry, "hdr", dict, where)
        if kind not in readers:
            raise InvalidConfiguration(where, f"type {kind!r} is not known", peer)
        name = need(header, "name", str, where, "" if kind == "limits" else None)
        if name is None or name in found[kind]:
            raise InvalidConfiguration(where, f"name {name!r} is missing or stands twice", peer)
        found[kind][name] = readers[kind](name, need(entry, "spec", dict, where), f"{where} {name}")
    return _whole(number, found, peer)


def _whole(number, found, peer):
    routes, services, places = found["routes"].values(), found["svcs"], set()
    if len(found["limits"]) > 1:
        raise InvalidConfiguration(STEP, "limits stand twice", peer)
    for route in routes:
        unknown = [svc for svc, _ in route.split if svc not in services]
        if unknown:
            why = f"route {route.name} names the unknown service {unknown[0]!r}"
            raise InvalidConfiguration(STEP, why, peer)
        if (route.host, route.prefix) in places:
            why = f"route {route.name}: {route.host}{route.prefix} is taken by another"
            raise InvalidConfiguration(STEP, why, peer)
        places.add((route.host, route.prefix))
    limits, tenants = next(iter(found["limits"].values()), Limits()), tuple(found[TENANTS].values())
    check_keys_differ(tenants, STEP, peer)
    return Config(number, tuple(routes), services, limits, tenants)
