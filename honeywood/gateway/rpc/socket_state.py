"""What the kernel knows of a socket that asyncio has not read yet."""

from __future__ import annotations

import select

TYPE_CHECKING = False
if TYPE_CHECKING:
    from asyncio.trsock import TransportSocket


def has_unread_input(sock: TransportSocket | None) -> bool:
    """Return whether bytes or the connection's end lie unread."""
    return _is_signalled(sock, select.POLLIN)


def peer_has_closed(sock: TransportSocket | None) -> bool:
    """Return whether the peer has ended its side of the connection, read or not."""
    return _is_signalled(sock, select.POLLRDHUP)


def _is_signalled(sock: TransportSocket | None, event: int) -> bool:
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))
