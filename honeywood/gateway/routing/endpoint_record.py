"""Typed form of the machine records that controllers publish."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.routing.endpoint_state import EndpointState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

ENDED = (EndpointState.GONE, EndpointState.LOST)


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """The content of a machine's record, whose key is `machine/ID`.

    `slots` is how many requests the machine serves at once, `warm_up_s` the remaining seconds of its slow
    start. If the machine has left or is lost, only `state` is meaningful.
    """

    state: EndpointState
    service: str = ""
    ip: str = ""
    port: int = 0
    zone: str = ""
    version: str = ""
    slots: int = 1
    warm_up_s: float = 0.0

    @property
    def has_ended(self) -> bool:
        """Whether the machine has left or is lost."""
        return self.state in ENDED

    @classmethod
    def decode(cls, value: Mapping[str, Any]) -> EndpointRecord:
        """The record of a wire form, which the controllers have validated.

        Raises:
            KeyError: A field is missing.
        """
        state = _state_of(value["state"])
        if state in ENDED:
            return cls(state)
        return cls(
            state,
            value["svc"],
            value["ip"],
            value["port"],
            value["zone"],
            value["ver"],
            max(1, value["slots"]),
            value["cold"],
        )


def _state_of(text: Any) -> EndpointState:
    """The state of a wire form; DRAINING for a state that only later versions know: no new requests."""
    try:
        return EndpointState(text)
    except ValueError:
        return EndpointState.DRAINING
