"""Definitions that both sides of a paged call share: the paged requests, and the key of a call."""

from __future__ import annotations

import json

from honeywood.gateway.register.requests import ReadAll, TransferState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.register.json_value import JsonValue

PAGED_STEPS = (TransferState.step, ReadAll.step)

POSITION_FIELD = "have"
"""The field of a request for how much of its response the caller has already received."""


def make_call_key(peer: str, body: Mapping[str, JsonValue]) -> str:
    """Return the key that identifies a response: the peer, and the request without its position."""
    request = {key: value for key, value in body.items() if key != POSITION_FIELD}
    return json.dumps([peer, request], sort_keys=True)
