"""What all scripted clients of a soak test share."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from honeywood.lab.soak.record import Record


@dataclass(frozen=True, slots=True)
class ClientContext:
    """Where clients send requests, and what they record.

    Attributes:
        record: The observations.
        proxies: The addresses of the proxies, by name.
        random: The source of all random choices.
        clock: Returns monotonic seconds.
        known_keys: Returns the API keys that may be sent now.
    """

    record: Record
    proxies: Mapping[str, tuple[str, int]]
    random: random.Random
    clock: Callable[[], float]
    known_keys: Callable[[], Sequence[str]]
