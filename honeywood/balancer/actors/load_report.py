"""What servers say of their load: `name=figure` pairs, separated by commas."""

from __future__ import annotations

import re

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z", re.ASCII)
MAX_REPORT = 1024  # characters that are read


def parse_load_report(text: str, fields: Sequence[str]) -> tuple[float, ...]:
    """The figures of these fields in order; () where one of them is missing or cannot be read."""
    if not text:
        return ()
    pairs = (word.strip().partition("=") for word in text[:MAX_REPORT].split(","))
    told = {name: figure for name, _, figure in pairs}
    figures = [told.get(name, "") for name in fields]
    return tuple(float(figure) for figure in figures) if all(map(FIGURE.match, figures)) else ()
