"""Starts a program without those imports of its libraries that it never uses.

Memory and start-up time are priced, and most of both is imports. Left out are OpenSSL (only plain HTTP/1.1 is
spoken; 4.4 MB) with certifi (0.7 MB), uvicorn's command line with click and multiprocessing (3.2 MB), and
logging configurations (0.7 MB).
"""

from __future__ import annotations

import importlib
import importlib.machinery
import sys
from types import ModuleType

SSL_CLASSES = ("SSLContext", "SSLSocket", "SSLObject")
SSL_ERRORS = ("SSLError", "SSLWantReadError", "SSLWantWriteError")
SSL_CONSTANTS = ("PROTOCOL_TLS_SERVER", "CERT_NONE")
NO_TLS = "A stand-in: no TLS is spoken."


def run(module_name: str, program_name: str) -> None:
    """Import the Program class `program_name` of a module and run it until it ends."""
    install_stand_ins()
    asyncio = importlib.import_module("asyncio")
    program = getattr(importlib.import_module(module_name), program_name)()
    metrics = importlib.import_module("honeywood.gateway.metrics")
    program.metrics_endpoint.port = metrics.parse_port(sys.argv[1:])
    asyncio.run(program.run())


def install_stand_ins() -> None:
    """Put stand-ins in the places of unused modules, before anything that would import these."""
    _replace_ssl()
    sys.modules["logging.config"] = ModuleType("logging.config", "A stand-in: structlog sets up the log.")
    _skip_package_init("uvicorn", "Config")


def _replace_ssl() -> None:
    """Put a module in the place of `ssl` with the names that uvicorn and httpcore look up at their import.

    asyncio is imported before, while there is no `ssl` at all, and so offers no TLS.
    """
    sys.modules["ssl"] = None  # type: ignore[assignment]  # makes `import ssl` raise ImportError
    importlib.import_module("asyncio")
    sys.modules["certifi"] = ModuleType("certifi", NO_TLS)
    ssl = ModuleType("ssl", NO_TLS)
    ssl.__dict__.update({name: type(name, (), {}) for name in SSL_CLASSES})
    ssl.__dict__.update({name: type(name, (OSError,), {}) for name in SSL_ERRORS})
    ssl.__dict__.update(dict.fromkeys(SSL_CONSTANTS, 0))
    sys.modules["ssl"] = ssl


def _skip_package_init(package_name: str, *class_names: str) -> None:
    """Import a package without running its __init__, which would import all of it.

    Its modules are found as ever. Each of `class_names` is taken from the module of the same name in lower
    case, as the __init__ would.
    """
    spec = importlib.machinery.PathFinder.find_spec(package_name)
    if spec is None or spec.submodule_search_locations is None:
        raise ModuleNotFoundError(f"no package {package_name!r}", name=package_name)
    package = ModuleType(package_name)
    package.__path__ = list(spec.submodule_search_locations)
    sys.modules[package_name] = package
    for class_name in class_names:
        module = importlib.import_module(f"{package_name}.{class_name.lower()}")
        setattr(package, class_name, getattr(module, class_name))
