"""GET requests to the processes of a soak test."""

from __future__ import annotations

import asyncio

TIMEOUT_S = 1.0


async def get(ip: str, port: int, path: str) -> bytes:
    """Return the response including its head; empty if there is no response in time."""
    request = f"GET {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n"
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(request.encode())
            response = await reader.read()
            writer.close()
            return response
    except (OSError, TimeoutError):
        return b""
