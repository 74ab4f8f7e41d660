"""Parses and validates the settings file of a process. Unknown fields are ignored."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, fields
from typing import NamedTuple

from honeywood.gateway.configuration.addresses import PORT_END, Address, parse_address, parse_ipv4
from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidSettings

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

OPERATION = "settings"  # the operation that errors name
DEFAULT_MAX_OPEN_FILES = 1024
DEFAULT_MEMORY_MB = 256.0
DEFAULT_HEARTBEAT_INTERVAL_S = 1.5
DEFAULT_LINK_MBPS = 1000.0
BYTES_PER_MEGABIT = 125_000


class PortRange(NamedTuple):
    """The first and the last port for traffic between processes of the gateway."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class ListenAddresses:
    """The addresses at which a process accepts calls from outside the gateway, by their names in the file.

    Each property raises InvalidSettings if the file does not give that address.
    """

    addresses: dict[str, Address]

    @property
    def http(self) -> Address:
        """The address for clients."""
        return self._get("http")

    @property
    def ready(self) -> Address:
        """The address for the platform's readiness checks."""
        return self._get("ready")

    @property
    def ctl(self) -> Address:
        """The address for machines and operators."""
        return self._get("ctl")

    def _get(self, name: str) -> Address:
        try:
            return self.addresses[name]
        except KeyError:
            raise InvalidSettings(f"{OPERATION}: listen", f"{name} is missing") from None


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits, ratios and thresholds of the gateway's rules, named as in the file; `_s` means seconds."""

    reuse_s: float
    contact_s: float
    ack_s: float
    sync_s: float
    drain_s: float
    grace_s: float
    lost_s: float
    apply_s: float
    retry_ratio: float
    retry_win_s: float
    retry_slack: float
    canary_share: float
    canary_slack: float
    rollback_s: float


BOUND_NAMES = tuple(bound.name for bound in fields(Bounds))


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process; `seeds` are addresses of controllers."""

    node: str
    role: str
    ip: str
    zone: str
    seeds: tuple[Address, ...]
    fresh: bool  # whether the whole system starts for the first time
    data_directory: str
    port_range: PortRange
    listen: ListenAddresses
    bounds: Bounds
    tolerated_failures: int  # f: how many of the register's 2 f + 1 members may fail at once
    max_open_files: int
    memory_mb: float
    heartbeat_interval_s: float
    link_bytes_per_s: float  # capacity of the machine's network link

    @property
    def proxy_port(self) -> int:
        """The port at which proxies accept calls from each other."""
        return self.port_range.first

    @property
    def controller_port(self) -> int:
        """The port at which controllers accept calls from each other and from proxies."""
        return self.port_range.first + 1


def read_settings(text: str) -> Settings:
    """Return the settings parsed from a file's text; raises InvalidInput, which names the key."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise InvalidSettings(OPERATION, f"no TOML: {error}") from None
    port_range = _read_port_range(table)
    listen = need(table, "listen", dict, OPERATION, {})
    bounds = need(table, "bounds", dict, OPERATION)
    limits = need(table, "limits", dict, OPERATION, {})
    tolerate = need(table, "tolerate", dict, OPERATION, {})
    in_limits = f"{OPERATION}: limits"
    return Settings(
        node=need(table, "node", str, OPERATION),
        role=need(table, "role", str, OPERATION),
        ip=parse_ipv4(need(table, "ip", str, OPERATION), f"{OPERATION}: ip"),
        zone=need(table, "zone", str, OPERATION),
        seeds=tuple(
            parse_address(seed, f"{OPERATION}: seeds") for seed in need(table, "seeds", list, OPERATION)
        ),
        fresh=need(table, "fresh", bool, OPERATION, False),
        data_directory=need(table, "datadir", str, OPERATION, ""),
        port_range=port_range,
        listen=_read_listen(listen),
        bounds=_read_bounds(bounds),
        tolerated_failures=need(tolerate, "machines", int, f"{OPERATION}: tolerate", 0, least=0),
        max_open_files=need(limits, "nofile", int, in_limits, DEFAULT_MAX_OPEN_FILES, least=64),
        memory_mb=need(limits, "mem_mb", float, in_limits, DEFAULT_MEMORY_MB, least=1),
        heartbeat_interval_s=need(
            table, "beat_s", float, OPERATION, DEFAULT_HEARTBEAT_INTERVAL_S, least=0.01
        ),
        link_bytes_per_s=BYTES_PER_MEGABIT
        * need(limits, "link_mbps", float, in_limits, DEFAULT_LINK_MBPS, least=0.01),
    )


def _read_port_range(table: dict[str, Any]) -> PortRange:
    ports = need(table, "port_range", list, OPERATION)
    are_ports = len(ports) == 2 and all(type(port) is int and 0 < port < PORT_END for port in ports)
    if not are_ports or ports[1] <= ports[0]:
        raise InvalidSettings(OPERATION, "port_range must be two ports, the first the lower")
    return PortRange(*ports)


def _read_listen(table: dict[str, Any]) -> ListenAddresses:
    return ListenAddresses(
        {name: parse_address(text, f"{OPERATION}: listen.{name}") for name, text in table.items()}
    )


def _read_bounds(table: dict[str, Any]) -> Bounds:
    where = f"{OPERATION}: bounds"
    return Bounds(**{name: need(table, name, float, where, least=0) for name in BOUND_NAMES})
