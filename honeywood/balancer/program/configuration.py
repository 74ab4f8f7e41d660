"""The configuration: the one place where it is read, checked and given defaults.

It is the JSON object in the file that ROUTER_CONFIG names. ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY
stand in for `name`, `listen` and `discovery` where the object lacks them.
"""

import json

from honeywood.balancer.protocol import discovery, platform
from honeywood.balancer.settings import BadKey, Part, settings

LEAST_SOCKETS, LEAST_MEMORY = 64, 32
FIXED = "name", "listen", "limits", "settings"


class Config:
    """name, listen, discovery, platform (addresses), news, known, settings, sockets, memory_mb;
    `settings_text` and `seed`, as a trace keeps them; and `fixed`, the text of what is taken at start
    only."""


def address(part, key, otherwise=None):
    text = part.text(key, otherwise)
    try:
        return discovery.address(text)
    except ValueError:
        raise part.bad(key, "host:port") from None


def read(environ):
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise BadKey("ROUTER_CONFIG: missing")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as wrong:
        raise BadKey(f"ROUTER_CONFIG: {path}: {wrong}") from None
    return checked(raw, environ)


def checked(raw, environ):
    top, config = Part(raw, ""), Config()
    config.name = top.text("name", environ.get("ROUTER_NAME", "front"))
    config.listen = address(top, "listen", environ.get("ROUTER_LISTEN"))
    config.discovery = address(top, "discovery", environ.get("ROUTER_DISCOVERY"))
    config.sockets = top.part("limits").whole("sockets", 1024, least=LEAST_SOCKETS)
    config.memory_mb = top.part("limits").whole("memory_mb", 192, least=LEAST_MEMORY)
    config.platform = address(top.part("pipeline"), "address")
    known = top.raw.get("known", {"revision": 0, "complete": True, "members": []})
    try:
        config.known = discovery.members(known)
    except discovery.BadList as wrong:
        raise BadKey(f"known: {wrong}") from None
    try:
        seed = int(top.text("seed", "0"), 16)
    except ValueError:
        raise top.bad("seed", "a hexadecimal number") from None
    config.settings = settings(top.raw.get("settings"), seed, "settings")
    if not config.settings.methods:
        raise BadKey("settings.profiles: no method")
    config.settings_text, config.seed = json.dumps(raw.get("settings"), sort_keys=True), seed
    config.fixed = json.dumps([raw.get(key) for key in FIXED], sort_keys=True)
    config.news = platform.news(top.part("pipeline").part("news"), len(config.settings.waves))
    return config
