"""The settings file of a process, read and checked. Unknown fields are skipped."""

import tomllib
from dataclasses import dataclass

from honeywood.gateway.configuration.check import address, ipv4, need
from honeywood.gateway.errors import InvalidSettings

BOUNDS = (
    "reuse_s",
    "contact_s",
    "ack_s",
    "sync_s",
    "drain_s",
    "grace_s",
    "lost_s",
    "apply_s",
    "retry_ratio",
    "retry_win_s",
    "retry_slack",
    "canary_share",
    "canary_slack",
    "rollback_s",
)


@dataclass(frozen=True, slots=True)
class Settings:
    """One process's settings. Times are seconds, addresses (ip, port), `bounds` the figures of the rules."""

    node: str
    role: str
    ip: str
    zone: str
    seeds: list
    fresh: bool
    datadir: str
    ports: tuple
    listen: dict
    bounds: dict
    bear: int  # counted machines that may be lost at once
    nofile: int
    mem_mb: float
    beat_s: float
    link: float  # bytes a second that the machine's link carries

    @property
    def proxy_port(self):
        """Where proxies listen for each other."""
        return self.ports[0]

    @property
    def controller_port(self):
        """Where controllers listen for each other and for proxies."""
        return self.ports[0] + 1


def read(text):
    """Settings out of the file's text; raises errors.InvalidSettings naming the key."""
    where = "settings"
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as wrong:
        raise InvalidSettings(where, f"no TOML: {wrong}") from None
    ports = need(table, "port_range", list, where)
    if len(ports) != 2 or not all(type(p) is int and 0 < p < 65536 for p in ports) or ports[1] <= ports[0]:
        raise InvalidSettings(where, "port_range must be two ports, the first the lower")
    listen, given = need(table, "listen", dict, where, {}), need(table, "bounds", dict, where)
    limits, tolerate = need(table, "limits", dict, where, {}), need(table, "tolerate", dict, where, {})
    return Settings(
        node=need(table, "node", str, where),
        role=need(table, "role", str, where),
        ip=ipv4(need(table, "ip", str, where), f"{where}: ip"),
        zone=need(table, "zone", str, where),
        seeds=[address(seed, f"{where}: seeds") for seed in need(table, "seeds", list, where)],
        fresh=need(table, "fresh", bool, where, False),
        datadir=need(table, "datadir", str, where, ""),
        ports=tuple(ports),
        listen={key: address(value, f"{where}: listen.{key}") for key, value in listen.items()},
        bounds={key: need(given, key, float, f"{where}: bounds", least=0) for key in BOUNDS},
        bear=need(tolerate, "machines", int, f"{where}: tolerate", 0, least=0),
        nofile=need(limits, "nofile", int, f"{where}: limits", 1024, least=64),
        mem_mb=need(limits, "mem_mb", float, f"{where}: limits", 256.0, least=1),
        beat_s=need(table, "beat_s", float, where, 1.5, least=0.01),
        link=need(limits, "link_mbps", float, f"{where}: limits", 1000.0, least=0.01) * 125_000,
    )
