"""Calls whose answers come page by page."""

import asyncio

from ward import test

from honeywood.gateway.configuration.outcome import Done
from honeywood.gateway.register import paging as whole
from honeywood.gateway.register.pages import PART


@test("an answer that is no part and no whole is a failed call that names field and peer")
def _():
    class Peer:
        async def call(self, ip, port, path, body, within, again):
            return Done({"part": "x", "at": "0", "of": 9, "mark": "m", "sum": 0})

    ask = {"step": "survey", "known": {}}
    found = asyncio.run(whole.PagedCaller(Peer()).call("b", 1, "/register", ask, 1.0))
    assert not found.ok and "at must be int" in str(found) and "with b" in str(found)


@test("a read counts only what was answered after it began, though an earlier one got stuck half way")
def _():
    # Two reads may ask alike: the second one must not end with the first one's older parts.
    async def play():
        value, fails = ["x" * (3 * PART)], [False]

        class Peer:
            async def call(self, ip, port, path, body, within, again):
                if body["have"] and fails[0]:
                    return whole.Failed(path, "silence", ip, 503)
                return Done(await telling(dict(body), "a"))

        async def serve(ask, peer):
            return {"rows": value[0]}

        telling, caller = whole.PagedResponder(serve, lambda: 0.0), whole.PagedCaller(Peer())
        fails[0] = True
        assert not (await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)).ok
        fails[0], value[0] = False, "y" * (3 * PART)
        found = await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)
        assert found.value == {"rows": value[0]}

    asyncio.run(play())
