"""What an ASGI scope asks for, and how it is answered."""


async def body_of(receive, most):
    """The request's whole body, or None where it is longer than `most` bytes or its sender has left."""
    parts, size = [], 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > most:
            return None
        if not message.get("more_body", False):
            return b"".join(parts)


async def answer(send, status, headers=(), body=b""):
    """A whole answer of ours."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, (b"content-length", str(len(body)).encode())],
        }
    )
    await send({"type": "http.response.body", "body": body})
