"""The type of the values in the register: any JSON value. The register does not interpret them."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, TypeAlias

    JsonValue: TypeAlias = Any
    """What `json.loads` returns; only the code that changes a key knows the type of its value."""
