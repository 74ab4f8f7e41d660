"""Reads and checks the configuration and fills in its defaults; nothing else does.

The configuration is a JSON object in the file named by ROUTER_CONFIG. ROUTER_NAME, ROUTER_LISTEN and
ROUTER_DISCOVERY are the defaults of `name`, `listen` and `discovery`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from honeywood.balancer.protocol import discovery, platform
from honeywood.balancer.sections import InvalidConfiguration, Section
from honeywood.balancer.settings_codec import read_settings

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from honeywood.balancer.model import ReleaseUpdate
    from honeywood.balancer.protocol.discovery import Address, ServerList
    from honeywood.balancer.settings import Settings

MIN_SOCKETS, MIN_MEMORY_MB = 64, 32
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 192
FIXED_KEYS = "name", "listen", "limits", "settings"  # read at start only; a reload does not change them
NO_LIST = {"revision": 0, "complete": True, "members": []}


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of one balancer."""

    name: str
    listen: Address
    discovery: Address
    platform: Address
    sockets: int  # number of descriptors that the process may use
    memory_mb: int
    known: ServerList  # the server list to start with
    seed: int
    settings: Settings
    settings_text: str  # the settings as they are stored in a trace
    release: ReleaseUpdate  # the state of the release to start with
    fixed: str  # the values of FIXED_KEYS as text, to detect changes in a reload


def read(environ: Mapping[str, str]) -> Configuration:
    """Read the configuration named by the environment. Raises InvalidConfiguration."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise InvalidConfiguration("ROUTER_CONFIG: missing")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"ROUTER_CONFIG: {path}: {error}") from None
    return parse(raw, environ)


def parse(raw: Any, environ: Mapping[str, str]) -> Configuration:
    """Read the configuration from JSON. Raises InvalidConfiguration for the first invalid key."""
    top = Section(raw, "")
    name = top.string("name", environ.get("ROUTER_NAME", "front"))
    listen = _address(top, "listen", environ.get("ROUTER_LISTEN"))
    discovery_address = _address(top, "discovery", environ.get("ROUTER_DISCOVERY"))
    sockets = top.section("limits").integer("sockets", DEFAULT_SOCKETS, least=MIN_SOCKETS)
    memory_mb = top.section("limits").integer("memory_mb", DEFAULT_MEMORY_MB, least=MIN_MEMORY_MB)
    platform_address = _address(top.section("pipeline"), "address")
    known = _known(top)
    seed = _seed(top)
    settings = read_settings(top.raw.get("settings"), seed, "settings")
    if not settings.methods:
        raise InvalidConfiguration("settings.profiles: no method")
    return Configuration(
        name=name,
        listen=listen,
        discovery=discovery_address,
        platform=platform_address,
        sockets=sockets,
        memory_mb=memory_mb,
        known=known,
        seed=seed,
        settings=settings,
        settings_text=json.dumps(raw.get("settings"), sort_keys=True),
        release=platform.read_update(top.section("pipeline").section("news"), len(settings.waves)),
        fixed=json.dumps([raw.get(key) for key in FIXED_KEYS], sort_keys=True),
    )


def _address(section: Section, key: str, default: str | None = None) -> Address:
    text = section.string(key, default)
    try:
        return discovery.parse_address(text)
    except ValueError:
        raise section.invalid(key, "host:port") from None


def _known(top: Section) -> ServerList:
    """The last known server list."""
    try:
        return discovery.parse_list(top.raw.get("known", NO_LIST))
    except discovery.InvalidList as error:
        raise InvalidConfiguration(f"known: {error}") from None


def _seed(top: Section) -> int:
    try:
        return int(top.string("seed", "0"), 16)
    except ValueError:
        raise top.invalid("seed", "a hexadecimal number") from None
