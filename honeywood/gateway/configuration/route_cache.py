"""Keeps the routes of the configuration that was read last, so that unchanged ones are not checked again.

A configuration of a large site has thousands of routes, of which most changes concern a few.
"""

from __future__ import annotations

import marshal

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywood.gateway.configuration.model import Route

MARSHAL_VERSION = 2  # later versions encode equal values differently if they are shared


class RouteCache:
    """The routes that one program has read, by the encoded entry from which each was read.

    Entries are compared in this form, since Python considers 1, 1.0 and true as equal.
    """

    def __init__(self) -> None:
        """Start without routes."""
        self._routes: dict[bytes, Route] = {}
        self._next: dict[bytes, Route] = {}

    def __len__(self) -> int:
        """Return the number of routes of the configuration that was read last."""
        return len(self._routes)

    def find(self, entry: Any) -> Route | None:
        """Return the route that was read from an equal entry, or None."""
        encoded = marshal.dumps(entry, MARSHAL_VERSION)
        route = self._routes.get(encoded)
        if route is not None:
            self._next[encoded] = route
        return route

    def add(self, entry: Any, route: Route) -> None:
        """Add a route that was read from an entry."""
        self._next[marshal.dumps(entry, MARSHAL_VERSION)] = route

    def finish(self) -> None:
        """Drop all routes that were neither found nor added since the last call."""
        self._routes, self._next = self._next, {}

    def abort(self) -> None:
        """Drop what was added since the last call of `finish`: the configuration is invalid."""
        self._next = {}
