"""Reads HTTP requests, for all stubs of machines."""

import asyncio


async def read_request(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """Return (head, header fields in lower case, body) of the next request.

    Raises:
        asyncio.IncompleteReadError: the connection ended before the request was complete.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
    body = await reader.readexactly(int(fields.get(b"content-length", b"0")))
    return head, fields, body
