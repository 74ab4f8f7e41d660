"""Calls whose answers come page by page."""

import asyncio

from ward import raises, test

from honeywood.gateway.errors import CallFailed, GatewayError
from honeywood.gateway.register.paged_caller import PagedCaller
from honeywood.gateway.register.paged_responder import PagedResponder
from honeywood.gateway.register.pages import PAGE_CHARACTERS


@test("an answer that is neither complete nor a page is a failed call that names field and peer")
def _():
    class Peer:
        async def call(self, ip, port, path, body, within, idempotent):
            return {"part": "x", "at": "0", "of": 9, "mark": "m", "sum": 0}

    ask = {"step": "survey", "known": {}}
    with raises(GatewayError) as failed:
        asyncio.run(PagedCaller(Peer()).call("b", 1, "/register", ask, 1.0))
    assert "at must be int" in str(failed.raised) and "with b" in str(failed.raised)


@test("a read counts only what was answered after it began, though an earlier one got stuck half way")
def _():
    # Two reads may ask alike: the second one must not end with the first one's older pages.
    async def play():
        value, fails = ["x" * (3 * PAGE_CHARACTERS)], [False]

        class Peer:
            async def call(self, ip, port, path, body, within, idempotent):
                if body["have"] and fails[0]:
                    raise CallFailed(path, "silence", ip)
                return await telling(dict(body), "a")

        async def serve(ask, peer):
            return {"rows": value[0]}

        telling, caller = PagedResponder(serve, lambda: 0.0), PagedCaller(Peer())
        fails[0] = True
        with raises(CallFailed):
            await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)
        fails[0], value[0] = False, "y" * (3 * PAGE_CHARACTERS)
        found = await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)
        assert found == {"rows": value[0]}

    asyncio.run(play())
