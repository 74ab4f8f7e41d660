"""Starts a program without what it never uses of its libraries: memory and start-up time are priced, and most
of both is imports. Left out: OpenSSL (only plain HTTP/1.1 is spoken; 4.4 MB) and certifi with it (0.7 MB),
uvicorn's command line with click and multiprocessing (3.2 MB), logging configurations (0.7 MB).
"""

import importlib
import importlib.machinery
import sys
from types import ModuleType


def _no_tls():
    """A module in the place of `ssl` that holds the names which uvicorn and httpcore look up when they are
    imported. asyncio, imported before it stands there, finds none and offers no TLS."""
    sys.modules["ssl"] = None
    importlib.import_module("asyncio")
    sys.modules["certifi"] = ModuleType("certifi", "No TLS is spoken here.")
    stand_in = sys.modules["ssl"] = ModuleType("ssl", "No TLS is spoken here.")
    for name in ("SSLContext", "SSLSocket", "SSLObject"):
        setattr(stand_in, name, type(name, (), {}))
    for name in ("SSLError", "SSLWantReadError", "SSLWantWriteError"):
        setattr(stand_in, name, type(name, (OSError,), {}))
    stand_in.PROTOCOL_TLS_SERVER = stand_in.CERT_NONE = 0


def _bare(name, *known):
    """The package `name` without what its __init__ imports, but for the names `known`, each of a module that
    is called like it; its modules are found as ever."""
    package = ModuleType(name)
    package.__path__ = list(importlib.machinery.PathFinder.find_spec(name).submodule_search_locations)
    sys.modules[name] = package
    for one in known:
        setattr(package, one, getattr(importlib.import_module(f"{name}.{one.lower()}"), one))


def lighten():
    """Puts stand-ins in the places of what isn't used; before anything that would import it."""
    _no_tls()
    sys.modules["logging.config"] = ModuleType("logging.config", "Logs are set up by structlog.")
    _bare("uvicorn", "Config")


def run(module, program):
    """Imports `program` of `module` and runs it until it ends."""
    lighten()
    asyncio = importlib.import_module("asyncio")
    started = getattr(importlib.import_module(module), program)()
    started.metrics_port = importlib.import_module("honeywood.gateway.metrics").port_of(sys.argv[1:])
    asyncio.run(started.run())
