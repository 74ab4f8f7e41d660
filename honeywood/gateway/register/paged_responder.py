"""The responding side of paged calls: long responses are sent page by page."""

from __future__ import annotations

from honeywood.gateway.register.pages import PagePosition, PageSender
from honeywood.gateway.register.paging import PAGED_STEPS, POSITION_FIELD, make_call_key

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from honeywood.gateway.register.json_value import JsonValue

    Serve = Callable[[dict[str, JsonValue], str], Awaitable[dict[str, JsonValue]]]


class PagedResponder:
    """Responds to requests with the result of `serve(body, peer)`, in pages if it is long."""

    def __init__(self, serve: Serve, clock: Callable[[], float]) -> None:
        """`clock` returns the seconds of a monotonic clock."""
        self._serve, self._clock = serve, clock
        self._sender = PageSender()

    async def __call__(self, body: dict[str, JsonValue], peer: str) -> dict[str, JsonValue]:
        """Return the complete response, or its next page."""
        raw_position = body.get(POSITION_FIELD)
        request = {key: value for key, value in body.items() if key != POSITION_FIELD}
        if not isinstance(raw_position, list) or request.get("step") not in PAGED_STEPS:
            return await self._serve(request, peer)
        call_key = make_call_key(peer, request)
        page = self._sender.next_page(self._clock(), call_key, _position(raw_position))
        if page is not None:
            return page.encode()
        response = await self._serve(request, peer)
        first_page = self._sender.start(self._clock(), call_key, response)
        return response if first_page is None else first_page.encode()


def _position(raw_position: list[JsonValue]) -> PagePosition | None:
    """Return the position that a caller sent, or None if it has received nothing or the field is invalid."""
    if len(raw_position) != 2 or not isinstance(raw_position[0], str):
        return None
    digest, characters = raw_position
    return PagePosition(digest, characters) if type(characters) is int and characters >= 0 else None
