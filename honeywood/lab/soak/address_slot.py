"""Reserves a loopback network for one soak, so that soaks that run at the same time don't share addresses."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

SLOTS = 200
"""The networks 127.1 to 127.200, one for each running soak."""
GUARD_PORT = 18079


@contextmanager
def reserved_slot() -> Iterator[int]:
    """Reserve a slot, the second number of its network's addresses, until the end of the context.

    A socket that is bound to an address of the network holds it. Raises OSError if all are reserved.
    """
    with socket.socket() as guard:
        yield _bind_to_free(guard)


def _bind_to_free(guard: socket.socket) -> int:
    for offset in range(SLOTS):
        slot = 1 + (os.getpid() + offset) % SLOTS
        try:
            guard.bind((f"127.{slot}.0.1", GUARD_PORT))
        except OSError:
            continue
        return slot
    raise OSError("all networks are used by other soaks")
