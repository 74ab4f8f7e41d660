"""Conversion of days from and to JSON objects in files, and from command-line options.

Some fields have other names there than in Day (STORED_NAMES).
"""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING

from honeywood.lab.emulator.day import Day
from honeywood.lab.emulator.faults.fault import Fault, FaultKind

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

STORED_NAMES = {
    "traffic_s": "seconds",
    "proxies": "fronts",
    "requests_per_s": "per_s",
    "tolerated_failures": "bear",
    "omniscient_routing": "seeing",
    "configuration_changes": "changes",
    "max_faults": "most_faults",
    "link_bytes_per_s": "link",
}
"""The stored names by name of the field, for fields whose names differ."""

_FIELDS = {STORED_NAMES.get(field.name, field.name): field.name for field in fields(Day)}


def encode(day: Day) -> dict[str, Any]:
    """Return a day as a JSON object."""
    stored = {name: getattr(day, field) for name, field in _FIELDS.items()}
    return {**stored, "faults": [_encode_fault(fault) for fault in day.faults]}


def decode(stored: Mapping[str, Any]) -> Day:
    """Return the day that is encoded in a JSON object."""
    faults = tuple(_decode_fault(fault) for fault in stored["faults"])
    return from_options({**stored, "faults": faults})


def from_options(options: Mapping[str, Any]) -> Day:
    """Return the day with the given options by stored name; the seed defaults to 0."""
    return Day(**{"seed": 0, **{_FIELDS[name]: value for name, value in options.items()}})


def _encode_fault(fault: Fault) -> dict[str, Any]:
    return {
        "kind": str(fault.kind),
        "at_s": fault.at_s,
        "for_s": fault.duration_s,
        "target": fault.target,
        "variant": fault.variant,
    }


def _decode_fault(stored: Mapping[str, Any]) -> Fault:
    kind = FaultKind(stored["kind"])
    return Fault(kind, stored["at_s"], stored["for_s"], stored["target"], stored["variant"])
