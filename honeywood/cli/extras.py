"""The optional libraries: the extra of pyproject.toml that installs each, and the error if one is missing."""

from collections.abc import Iterable
from importlib.util import find_spec

# Top-level modules by extra. `trace-tools` includes `trace`; all commands that read traces need it.
LIBRARIES = {
    "cli": ("click", "rich"),
    "operator": ("hcl2",),
    "system": ("uvicorn", "httpcore", "httptools", "anyio", "lmdb"),
    "trace-tools": ("msgpack", "xxhash", "zstandard", "numpy", "matplotlib"),
}


class MissingExtrasError(Exception):
    """A command needs libraries that aren't installed; the text names the extras to install."""

    def __init__(self, extras: Iterable[str]):
        self.extras = tuple(sorted(extras))
        names = ",".join(self.extras)
        super().__init__(f"not installed: {names}; from the checkout: pip install '.[{names}]'")


def require(*extras: str) -> None:
    """Checks that the libraries of these extras are installed, without importing them.

    Raises:
        MissingExtrasError: a library is missing; the error names every extra with a missing library.
    """
    missing = [extra for extra in extras if any(find_spec(module) is None for module in LIBRARIES[extra])]
    if missing:
        raise MissingExtrasError(missing)


def extra_with(module: str | None) -> str | None:
    """Returns the extra that installs a module; None if the module is not an optional library."""
    library = (module or "").partition(".")[0]
    return next((extra for extra, modules in LIBRARIES.items() if library in modules), None)
