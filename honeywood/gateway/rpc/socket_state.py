"""State of a socket in the kernel that asyncio has not read yet."""

from __future__ import annotations

import select

TYPE_CHECKING = False
if TYPE_CHECKING:
    from asyncio.trsock import TransportSocket


def has_unread_input(sock: TransportSocket | None) -> bool:
    """Return whether received bytes, or the end of the connection, have not been read yet."""
    return _has_poll_event(sock, select.POLLIN)


def peer_has_closed(sock: TransportSocket | None) -> bool:
    """Return whether the peer has closed its side of the connection, even if that has not been read yet."""
    return _has_poll_event(sock, select.POLLRDHUP)


def _has_poll_event(sock: TransportSocket | None, event: int) -> bool:
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))
