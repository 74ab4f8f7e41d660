"""Register answers that hold everything, over links that carry little at a time."""

import asyncio
import json

from honeywood.gateway.errors import CallFailed
from honeywood.gateway.register.parts import PartReceiver, PartSender

LONG = ("pull", "survey")  # steps whose answers may be long
STEP = 0.8  # seconds for a part
MOST = 3.0  # seconds for all parts of an answer, as long as they come
HAVE = "have"  # field of an ask: what is there of its answer


def _question(peer, body):
    return json.dumps([peer, {key: value for key, value in body.items() if key != HAVE}], sort_keys=True)


class PagedCaller:
    """Calls of others, as of rpc.client.Caller: long answers are asked for part by part. What was heard of a
    pull stays though a part fails or time is up: the next one goes on there, as if its answer had been long
    on its way. A survey stands for a read, and counts only what was answered after it began."""

    def __init__(self, caller):
        self.caller, self.hearer, self.calls = caller, PartReceiver(), 0

    async def call(self, ip, port, path, body, within, idempotent=False):
        """The whole answer; raises CallFailed where not all of it came in time."""
        if body.get("step") not in LONG:
            return await self.caller.call(ip, port, path, body, within, idempotent=idempotent)
        self.calls += 1
        key = _question(ip, body) if body["step"] == "pull" else self.calls
        try:
            return await self._parts(key, ip, port, path, body, within, idempotent)
        finally:
            if body["step"] != "pull":
                self.hearer.open.pop(key, None)

    async def _parts(self, key, ip, port, path, body, within, idempotent):
        loop = asyncio.get_running_loop()
        until = loop.time() + max(MOST, within)
        while (left := until - loop.time()) > 0:
            have = self.hearer.have(key)
            asked, step = {**body, HAVE: have}, min(STEP, within, left)
            reply = await self.caller.call(ip, port, path, asked, step, idempotent=idempotent)
            whole = self.hearer.take(key, reply, ip)
            if whole is not None:
                return whole
            if have == self.hearer.have(key):
                break  # damaged: not asked for again and again without a pause
        raise CallFailed(path, "not all parts came in time", ip)


class PagedResponder:
    """This disk's side: `serve(ask, peer)` gives the whole answer."""

    def __init__(self, serve, clock):
        self.serve, self.clock, self.teller = serve, clock, PartSender()

    async def __call__(self, ask, peer):
        """The answer, or the part of it that comes next."""
        have = ask.pop(HAVE, None)
        if not isinstance(have, list) or ask.get("step") not in LONG:
            return await self.serve(ask, peer)
        question = _question(peer, ask)
        part = self.teller.go_on(self.clock(), question, have) if _sound(have) else None
        return part or self.teller.begin(self.clock(), question, await self.serve(ask, peer))


def _sound(have):
    return len(have) == 2 and isinstance(have[0], str) and type(have[1]) is int and have[1] >= 0
