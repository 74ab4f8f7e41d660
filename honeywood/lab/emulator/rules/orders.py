"""The orders of operators."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class ConfigurationOrder:
    """A configuration's content under its version number."""

    number: int
    content: str

    @classmethod
    def of(cls, number: int, body: object) -> ConfigurationOrder:
        """Return the order for a configuration that is given as JSON values."""
        return cls(number, json.dumps(body))

    def __str__(self) -> str:
        """Return the name in a violation's details."""
        return f"configuration {self.number}"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """A rollout of a service to a version."""

    service: str
    version: str

    def __str__(self) -> str:
        """Return the name in a violation's details."""
        return f"rollout of {self.service} to {self.version}"


Order: TypeAlias = ConfigurationOrder | RolloutOrder
