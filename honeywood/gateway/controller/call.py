"""A call to a controller as its handlers receive it, and the names of the available calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable


class CallName(StrEnum):
    """The calls of machines and operators, `POST /v1/rpc?call=NAME&of=SUBJECT`."""

    HEARTBEAT = "instances.heartbeat"
    LEAVE = "instances.leave"
    REPLACE_CONFIGURATION = "config.replace"
    READ_CONFIGURATION = "config.read"
    START_ROLLOUT = "rollouts.start"
    READ_ROLLOUT = "rollouts.read"


def never() -> bool:
    """The `has_left` of a caller that never disconnects."""
    return False


@dataclass(frozen=True, slots=True)
class Call:
    """One call; `has_left` returns whether the caller's connection has ended."""

    subject: str  # the id of a machine or the name of a service that the call is about
    body: bytes
    peer: str  # the caller's address
    has_left: Callable[[], bool] = never
