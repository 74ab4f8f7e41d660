"""Machine records as controllers publish them, in a typed form."""

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
    """What the record `machine/ID` says of a machine.

    `slots` is how many requests it serves at once, `warm_up_s` for how long it is still in slow start. Where
    the machine has left or is lost, only `state` is meaningful.
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
        """A record out of its wire form, which the controllers have checked.

        KeyError where a field is missing.
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
    """A state by its wire form; a machine in a state that a later version added takes nothing new."""
    try:
        return EndpointState(text)
    except ValueError:
        return EndpointState.DRAINING
