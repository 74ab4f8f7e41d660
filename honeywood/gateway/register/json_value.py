"""The type of the values that registers hold: any JSON value. The register never looks inside one."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, TypeAlias

    JsonValue: TypeAlias = Any
    """What `json.loads` returns; the type of a value is known only to whoever changes its key."""
