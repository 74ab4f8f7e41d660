"""A simulated disk."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import TypeAlias

    from honeywood.gateway.register.json_value import JsonValue

    Disks: TypeAlias = dict[str, dict[str, JsonValue]]
    """The rows of each disk, by its folder name."""


class MemoryStore:
    """A row store in memory; its rows survive restarts of the program until the disk is wiped."""

    def __init__(self, disks: Disks, folder: str) -> None:
        """Open the disk that is identified by `folder`, and create it if it does not exist."""
        self._rows = disks.setdefault(folder, {})

    def rows(self) -> dict[str, JsonValue]:
        """Return all rows by key."""
        return dict(self._rows)

    def put(self, rows: Mapping[str, JsonValue]) -> None:
        """Write rows; rows that are None are deleted."""
        self._rows.update(json.loads(json.dumps(rows)))
        for key in [key for key, row in rows.items() if row is None]:
            del self._rows[key]

    def close(self) -> None:
        """Do nothing; there is nothing to release."""
