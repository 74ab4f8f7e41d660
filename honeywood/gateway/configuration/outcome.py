"""Tagged outcomes: what went right, and what went wrong at which step with which peer."""

from dataclasses import dataclass
from typing import Any


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


class Wrong(Exception):
    """Something that can't be used; carries the Failed that tells it."""

    def __init__(self, step, why, peer="", status=400):
        """`step` and `peer` say where, `why` what was wrong, `status` what a caller is told."""
        self.failed = Failed(step, why, peer, status)
        super().__init__(str(self.failed))
