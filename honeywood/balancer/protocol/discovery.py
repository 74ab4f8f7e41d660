"""The list of servers as discovery tells it."""

import json

from honeywood.balancer.interface import DRAINING, GONE, READY

PHASES = {"up": READY, "draining": DRAINING, "removed": GONE}
ODD = KeyError, TypeError, ValueError, AttributeError, OverflowError  # what values of other kinds lead to
MOST_LINE = 4 * 1024 * 1024


class BadList(Exception):
    """What came is no list."""


def target(since):
    return f"/catalog/members?follow=1&since={since}"


def address(text):
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"address {text!r}")
    return host.strip("[]"), int(port)


def entry(raw):
    """(id, address, build, locality, cell, scale, status, start in Unix ms or 0) of one entry."""
    status = PHASES[raw["phase"]]
    return (
        str(raw["id"]),
        None if status == GONE and "host_port" not in raw else address(raw["host_port"]),
        int(raw.get("release", 0)),
        str(raw.get("locality", "")),
        int(raw.get("cell", 0)),
        float(raw.get("size", 1.0)),
        status,
        int(raw.get("up_since_ms", 0)),
    )


def members(raw):
    """(revision, whether whole, entries, what was wrong with entries left out)."""
    try:
        revision, whole, listed = int(raw["revision"]), bool(raw["complete"]), list(raw["members"])
    except ODD as wrong:
        raise BadList(f"no list: {wrong!r}") from None
    good, odd = [], []
    for one in listed:
        try:
            good.append(entry(one))
        except ODD as wrong:
            odd.append(repr(wrong))
    return revision, whole, good, odd


def line(text):
    """One line of a watch, or None for a sign of life."""
    if not text.strip():
        return None
    try:
        return members(json.loads(text))
    except (ValueError, RecursionError) as wrong:
        raise BadList(f"not JSON: {wrong}") from None
