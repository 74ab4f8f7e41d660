"""What the two sides of a paged call share: which requests are paged, and how a question is named."""

from __future__ import annotations

import json

from honeywood.gateway.register.requests import ReadAll, TransferState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from honeywood.gateway.register.json_value import JsonValue

PAGED_STEPS = (TransferState.step, ReadAll.step)

POSITION_FIELD = "have"
"""Of a request: how much of its answer the asker has."""


def question_of(peer: str, body: Mapping[str, JsonValue]) -> str:
    """Return what names an answer: the other side and the request without its position."""
    question = {key: value for key, value in body.items() if key != POSITION_FIELD}
    return json.dumps([peer, question], sort_keys=True)
