"""Ends a connection by a reset."""

from __future__ import annotations

import asyncio
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # the value of SO_LINGER with which closing a connection resets it


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; what it has not sent yet is lost."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
