"""Starts a program without the library modules that it never uses.

Memory and startup time count as costs, and imports account for most of both. Left out are OpenSSL (only plain
HTTP/1.1 is supported; 4.4 MB) with certifi (0.7 MB), uvicorn's command line with click and multiprocessing
(3.2 MB), and logging.config (0.7 MB).
"""

from __future__ import annotations

import importlib
import importlib.machinery
import sys
from types import ModuleType

SSL_CLASSES = ("SSLContext", "SSLSocket", "SSLObject")
SSL_ERRORS = ("SSLError", "SSLWantReadError", "SSLWantWriteError")
SSL_CONSTANTS = ("PROTOCOL_TLS_SERVER", "CERT_NONE")
SSL_STUB_DOC = "A stub: TLS is not supported."


def run(module_name: str, program_name: str) -> None:
    """Run the Program class `program_name` of a module until the program ends."""
    install_stubs()
    asyncio = importlib.import_module("asyncio")
    program = getattr(importlib.import_module(module_name), program_name)()
    metrics = importlib.import_module("honeywood.gateway.metrics")
    program.metrics_endpoint.port = metrics.parse_port(sys.argv[1:])
    asyncio.run(program.run())


def install_stubs() -> None:
    """Replace unused modules with stubs; must run before anything that would import them."""
    _replace_ssl()
    sys.modules["logging.config"] = ModuleType("logging.config", "A stub: structlog sets up the log.")
    _skip_package_init("uvicorn", "Config")


def _replace_ssl() -> None:
    """Replace `ssl` with a stub that has the names that uvicorn and httpcore look up when imported.

    asyncio is imported first, while importing `ssl` fails, and therefore offers no TLS.
    """
    sys.modules["ssl"] = None  # type: ignore[assignment]  # makes `import ssl` raise ImportError
    importlib.import_module("asyncio")
    sys.modules["certifi"] = ModuleType("certifi", SSL_STUB_DOC)
    ssl = ModuleType("ssl", SSL_STUB_DOC)
    ssl.__dict__.update({name: type(name, (), {}) for name in SSL_CLASSES})
    ssl.__dict__.update({name: type(name, (OSError,), {}) for name in SSL_ERRORS})
    ssl.__dict__.update(dict.fromkeys(SSL_CONSTANTS, 0))
    sys.modules["ssl"] = ssl


def _skip_package_init(package_name: str, *class_names: str) -> None:
    """Import a package without running its __init__, which would import all of it.

    Its modules can be imported as usual. Each of `class_names` is imported into the package from the module
    with the same name in lower case, as the __init__ would do.
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
