"""Parser of the load reports of servers: `name=number` pairs, separated by commas."""

from __future__ import annotations

import re

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z", re.ASCII)
MAX_REPORT = 1024  # characters; the rest is ignored


def parse_load_report(text: str, fields: Sequence[str]) -> tuple[float, ...]:
    """The values of these fields in order; () if one of them is missing or not a number."""
    if not text:
        return ()
    pairs = (word.strip().partition("=") for word in text[:MAX_REPORT].split(","))
    value_of = {name: value for name, _, value in pairs}
    values = [value_of.get(name, "") for name in fields]
    return tuple(float(value) for value in values) if all(map(NUMBER.match, values)) else ()
