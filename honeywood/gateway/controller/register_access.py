"""Reads and changes the replicated register on behalf of operators' calls.

Each result is based on a majority of the register's disks at some moment since the call arrived. Without a
majority the call is refused as unavailable, and its caller tries another controller.
"""

from __future__ import annotations

from honeywood.gateway.errors import Unavailable
from honeywood.gateway.register.errors import RegisterUnavailable

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywood.gateway.controller.register_publication import RegisterPublication
    from honeywood.gateway.register.register import Register

    StoredValue = dict[str, Any]  # a JSON object; its codec is in the module of the type that it encodes
    Update = Callable[[StoredValue | None], StoredValue | None]


class RegisterAccess:
    """Reads and changes values of the register, and publishes each result immediately."""

    def __init__(self, register: Register, publication: RegisterPublication) -> None:
        """Use `register`, and publish its values through `publication`."""
        self.register, self.publication = register, publication

    async def read(self, operation: str, key: str, peer: str) -> StoredValue | None:
        """Return the value under `key` or None; raises Unavailable without a majority."""
        try:
            value: StoredValue | None = await self.register.read(key)
        except RegisterUnavailable as error:
            raise Unavailable(operation, error.reason, peer) from None
        self.publication.publish(key, value)
        return value

    async def change(self, operation: str, key: str, update: Update, peer: str) -> StoredValue:
        """Apply `update` to the value under `key` and return it; raises Unavailable without a majority."""
        try:
            value: StoredValue = await self.register.change(key, update)
        except RegisterUnavailable as error:
            raise Unavailable(operation, error.reason, peer) from None
        self.publication.publish(key, value)
        return value
