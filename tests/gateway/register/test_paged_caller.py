"""Tests of calls whose responses arrive page by page."""

import asyncio

from ward import raises, test

from honeywood.gateway.errors import CallFailed, GatewayError
from honeywood.gateway.register.paged_caller import PagedCaller
from honeywood.gateway.register.paged_responder import PagedResponder
from honeywood.gateway.register.pages import PAGE_CHARACTERS


@test("a call fails with the names of the field and the peer if the response is an invalid page")
def _():
    class Peer:
        async def call(self, ip, port, path, body, timeout_s, idempotent):
            return {"part": "x", "at": "0", "of": 9, "mark": "m", "sum": 0}

    request = {"step": "survey", "known": {}}
    with raises(GatewayError) as failed:
        asyncio.run(PagedCaller(Peer()).call("b", 1, "/register", request, 1.0))
    assert "at must be int" in str(failed.raised) and "with b" in str(failed.raised)


@test("a read uses only pages sent after it began, even if an equal earlier read failed halfway")
def _():
    # Guards against a read whose request equals that of an earlier one, and which ends with its older pages.
    async def play():
        value, fails = ["x" * (3 * PAGE_CHARACTERS)], [False]

        class Peer:
            async def call(self, ip, port, path, body, timeout_s, idempotent):
                if body["have"] and fails[0]:
                    raise CallFailed(path, "silence", ip)
                return await responder(dict(body), "a")

        async def serve(request, peer):
            return {"rows": value[0]}

        responder, caller = PagedResponder(serve, lambda: 0.0), PagedCaller(Peer())
        fails[0] = True
        with raises(CallFailed):
            await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)
        fails[0], value[0] = False, "y" * (3 * PAGE_CHARACTERS)
        response = await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)
        assert response == {"rows": value[0]}

    asyncio.run(play())
