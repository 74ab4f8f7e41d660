"""Results of steps inside the register, until its operations raise what went wrong."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from honeywood.gateway.errors import GatewayError


@dataclass(frozen=True, slots=True)
class Done:
    """A step that ended well, with what it brought."""

    value: Any = None
    ok = True


@dataclass(frozen=True, slots=True)
class Failed:
    """A step that did not: `step` and `peer` say where, `why` what was wrong, `status` what is told."""

    step: str
    why: str
    peer: str = ""
    status: int = 400
    ok = False

    def __str__(self):
        """The step, the peer and what was wrong."""
        return f"{self.step}{' with ' + self.peer if self.peer else ''}: {self.why}"


def failed_by(error: GatewayError) -> Failed:
    """The result of a step that an exception ended."""
    return Failed(error.operation, error.reason, error.peer, 503)
