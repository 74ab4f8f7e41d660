"""Parses a configuration, as operators send it or as controllers pass it on to proxies.

The whole configuration is checked before any of it is used. Its form is {"ver": eight hexadecimal digits,
"res": [{"type", "hdr": {"name"}, "spec"}]}; unknown fields are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywood.gateway.configuration.check import need, read_json
from honeywood.gateway.configuration.model import (
    Configuration,
    Limits,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from honeywood.gateway.configuration.tenants import (
    TENANTS,
    check_keys_differ,
    read_hashed_tenant,
    read_tenant,
)
from honeywood.gateway.errors import InvalidConfiguration, InvalidInput

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywood.gateway.configuration.route_cache import RouteCache
    from honeywood.gateway.configuration.tenants import Tenant

OPERATION = "config.replace"  # the operation that errors name
ROUTES, SERVICES, LIMITS = "routes", "svcs", "limits"  # values of an item's `type`
VERSION_DIGITS = 8
HEX_DIGITS = "0123456789abcdef"
MAX_ROUTE_TIME_S = 86400.0  # longer times are rejected as mistakes
MIN_HEADER_BYTES = 256
MIN_CLIENT_TIME_S = 0.001
PROTOCOL = "h1"


@dataclass(slots=True)
class _Items:
    """The items of a configuration that have been parsed, by type and name."""

    routes: dict[str, Route] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: dict[str, Limits] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)


def read_configuration(
    raw: bytes, peer: str = "", hashed_keys: bool = False, route_cache: RouteCache | None = None
) -> Configuration:
    """Return the configuration parsed from the bytes that `peer` sent.

    `hashed_keys` means that it has the form in which controllers pass it on to proxies. Routes that
    `route_cache` holds are taken from there; it then holds those of this configuration. Raises InvalidInput,
    which names the item and the key, if the configuration is invalid.
    """
    table = read_json(raw, OPERATION, peer)
    version = read_version(table.get("ver"), peer)
    entries, items = need(table, "res", list, OPERATION), _Items()
    if route_cache is None:
        _read_items(entries, items, hashed_keys, peer)
    else:
        _read_items_with_cache(entries, items, hashed_keys, peer, route_cache)
    _check_routes(items, peer)
    tenants = tuple(items.tenants.values())
    check_keys_differ(tenants, OPERATION, peer)
    limits = next(iter(items.limits.values()), Limits())
    return Configuration(version, tuple(items.routes.values()), items.services, limits, tenants)


def read_version(text: object, peer: str = "") -> int:
    """Return the version that eight hexadecimal digits encode; raises InvalidConfiguration."""
    digits = text.lower() if isinstance(text, str) else ""
    if len(digits) != VERSION_DIGITS or not all(digit in HEX_DIGITS for digit in digits):
        raise InvalidConfiguration(OPERATION, f"ver: {text!r} is not eight hexadecimal digits", peer)
    return int(digits, 16)


def _read_items(entries: list[object], items: _Items, hashed_keys: bool, peer: str) -> None:
    for index, entry in enumerate(entries):
        _read_item(entry, f"{OPERATION}: res[{index}]", items, hashed_keys, peer)


def _read_items_with_cache(
    entries: list[object], items: _Items, hashed_keys: bool, peer: str, route_cache: RouteCache
) -> None:
    """Parse the items whose routes are not in the cache."""
    try:
        for index, entry in enumerate(entries):
            route = route_cache.find(entry)
            if route is not None and route.name not in items.routes:
                items.routes[route.name] = route
                continue
            route = _read_item(entry, f"{OPERATION}: res[{index}]", items, hashed_keys, peer)
            if route is not None:
                route_cache.add(entry, route)
    except InvalidInput:
        route_cache.abort()
        raise
    route_cache.finish()


def _read_item(entry: object, where: str, items: _Items, hashed_keys: bool, peer: str) -> Route | None:
    """Parse one item of a configuration and add it to `items`; return it if it is a route."""
    if not isinstance(entry, dict):
        raise InvalidConfiguration(where, "must be an object", peer)
    item_type = need(entry, "type", str, where)
    header = need(entry, "hdr", dict, where)
    items_by_type: dict[str, dict[str, Any]] = {
        ROUTES: items.routes,
        SERVICES: items.services,
        LIMITS: items.limits,
        TENANTS: items.tenants,
    }
    if item_type not in items_by_type:
        raise InvalidConfiguration(where, f"type {item_type!r} is not known", peer)
    name = need(header, "name", str, where, "" if item_type == LIMITS else None)
    if name is None or name in items_by_type[item_type]:
        raise InvalidConfiguration(where, f"name {name!r} is missing or stands twice", peer)
    spec = need(entry, "spec", dict, where)
    where_in_item = f"{where} {name}"
    if item_type == ROUTES:
        items.routes[name] = _read_route(name, spec, where_in_item)
        return items.routes[name]
    if item_type == SERVICES:
        items.services[name] = _read_service(name, spec, where_in_item)
    elif item_type == LIMITS:
        items.limits[name] = _read_limits(spec, where_in_item)
    elif hashed_keys:
        items.tenants[name] = read_hashed_tenant(name, spec, where_in_item)
    else:
        items.tenants[name] = read_tenant(name, spec, where_in_item)
    return None


def _read_route(name: str, spec: dict[str, Any], where: str) -> Route:
    kind_text = need(spec, "kind", str, where)
    prefix = need(spec, "pfx", str, where)
    kind = _read_kind(kind_text, where)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise InvalidConfiguration(where, f"pfx {prefix!r} must begin and end with a slash")
    host = need(spec, "vhost", str, where)
    if not host or host != host.strip():
        raise InvalidConfiguration(where, "vhost is empty or padded")
    timeout_s = need(spec, "timeout_s", float, where, least=0, most=MAX_ROUTE_TIME_S)
    if not timeout_s > 0:
        raise InvalidConfiguration(where, "timeout_s must be above 0")
    return Route(
        name,
        host.lower(),
        prefix,
        kind,
        timeout_s,
        latency_target_s=need(spec, "target_s", float, where, timeout_s, least=0, most=MAX_ROUTE_TIME_S),
        priority=need(spec, "prio", int, where, 0, least=0),
        max_attempts=need(spec, "tries", int, where, 1, least=1),
        split=_read_split(spec, where),
        public=need(spec, "public", bool, where, False),
    )


def _read_kind(text: str, where: str) -> RequestKind:
    try:
        return RequestKind(text)
    except ValueError:
        raise InvalidConfiguration(where, f"kind {text!r} is not one of {', '.join(RequestKind)}") from None


def _read_split(spec: dict[str, Any], where: str) -> tuple[WeightedService, ...]:
    if "split" not in spec:
        return (WeightedService(need(spec, "svc", str, where), 1.0),)
    entries = need(spec, "split", list, where)
    if not entries or not all(isinstance(entry, dict) for entry in entries) or "svc" in spec:
        raise InvalidConfiguration(
            where, "split must be a list of services and weights, with no svc beside it"
        )
    split = tuple(
        WeightedService(need(entry, "svc", str, where), need(entry, "wt", float, where, least=0))
        for entry in entries
    )
    if len({backend.service for backend in split}) != len(split):
        raise InvalidConfiguration(where, "split names a service twice")
    if not sum(backend.weight for backend in split) > 0:
        raise InvalidConfiguration(where, "split has no weight above 0")
    return split


def _read_service(name: str, spec: dict[str, Any], where: str) -> Service:
    protocol = need(spec, "proto", str, where, PROTOCOL)
    tls = need(spec, "tls", bool, where, False)
    if protocol != PROTOCOL or tls:
        raise InvalidConfiguration(where, "only proto h1 without tls is spoken")
    return Service(
        name,
        health_check_path=need(spec, "hc_path", str, where, "/"),
        max_connections=need(spec, "max_conns", int, where, least=1),
    )


def _read_limits(spec: dict[str, Any], where: str) -> Limits:
    default = Limits()
    return Limits(
        need(spec, "hdr_bytes", int, where, default.header_bytes, least=MIN_HEADER_BYTES),
        need(spec, "body_bytes", int, where, default.body_bytes, least=0),
        need(spec, "hdr_s", float, where, default.header_s, least=MIN_CLIENT_TIME_S, most=MAX_ROUTE_TIME_S),
        need(spec, "idle_s", float, where, default.idle_s, least=MIN_CLIENT_TIME_S, most=MAX_ROUTE_TIME_S),
    )


def _check_routes(items: _Items, peer: str) -> None:
    """Check that limits occur once at most, and that routes name known services.

    No two routes may have the same host and prefix.
    """
    if len(items.limits) > 1:
        raise InvalidConfiguration(OPERATION, "limits stand twice", peer)
    seen_prefixes = set()
    for route in items.routes.values():
        unknown = [backend.service for backend in route.split if backend.service not in items.services]
        if unknown:
            raise InvalidConfiguration(
                OPERATION, f"route {route.name} names the unknown service {unknown[0]!r}", peer
            )
        if (route.host, route.prefix) in seen_prefixes:
            reason = f"route {route.name}: {route.host}{route.prefix} is taken by another"
            raise InvalidConfiguration(OPERATION, reason, peer)
        seen_prefixes.add((route.host, route.prefix))
