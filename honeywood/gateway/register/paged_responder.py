"""The answering side of calls whose answers may be long: these are sent page by page."""

from __future__ import annotations

from honeywood.gateway.register.pages import PagePosition, PageSender
from honeywood.gateway.register.paging import PAGED_STEPS, POSITION_FIELD, question_of

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from honeywood.gateway.register.json_value import JsonValue

    Serve = Callable[[dict[str, JsonValue], str], Awaitable[dict[str, JsonValue]]]


class PagedResponder:
    """Answers requests with `serve(body, peer)`, long answers in pages."""

    def __init__(self, serve: Serve, clock: Callable[[], float]) -> None:
        """`clock` gives steady seconds."""
        self._serve, self._clock = serve, clock
        self._sender = PageSender()

    async def __call__(self, body: dict[str, JsonValue], peer: str) -> dict[str, JsonValue]:
        """Return the answer, or the page of it that comes next."""
        have = body.get(POSITION_FIELD)
        request = {key: value for key, value in body.items() if key != POSITION_FIELD}
        if not isinstance(have, list) or request.get("step") not in PAGED_STEPS:
            return await self._serve(request, peer)
        question = question_of(peer, request)
        page = self._sender.next_page(self._clock(), question, _position(have))
        if page is not None:
            return page.encode()
        answer = await self._serve(request, peer)
        first_page = self._sender.start(self._clock(), question, answer)
        return answer if first_page is None else first_page.encode()


def _position(have: list[JsonValue]) -> PagePosition | None:
    """Return the position that an asker sent; None where it has nothing, or sent what is no position."""
    if len(have) != 2 or not isinstance(have[0], str):
        return None
    digest, characters = have
    return PagePosition(digest, characters) if type(characters) is int and characters >= 0 else None
