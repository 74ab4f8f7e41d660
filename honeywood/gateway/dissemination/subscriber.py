"""Asking other programs for what they have heard."""

import asyncio
from dataclasses import replace

from honeywood.gateway.dissemination.messages import Answer, Ask
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.errors import CallFailed, GatewayError

MARGIN_S = 0.5  # seconds that an answer may take besides those that it is held


class Subscriber:
    """Asks one peer after the other; `who()` says who asks, `records_for(ip)` gives the records that go along
    to one. Peers that don't answer are in `backoff`; `known` is up to where each has told what it holds:
    {(ip, port): (life, rev)}."""

    def __init__(self, publisher, caller, who, backoff, records_for=lambda ip: [], most=lambda: None):
        """`caller` carries calls; `most()` bounds the bytes of an answer, or is None; nobody has been
        asked."""
        self.most = most
        self.publisher, self.caller, self.who, self.records_for = publisher, caller, who, records_for
        self.backoff, self.known = backoff, {}

    def _ask(self, ip, port, hold_s):
        store, (life, rev) = self.publisher.store, self.known.get((ip, port), ("", 0))
        return Ask(
            replace(self.who(), epoch=store.epoch),
            life,
            rev,
            self.records_for(ip),
            hold_s,
            f"{store.digest:x}",
            min(self.publisher.most, self.most() or self.publisher.most),
            store.held(),
            self.publisher.chunks.have(),
        )

    def forget(self, ip):
        """A peer is asked no more."""
        self.backoff.forget(ip)
        self.known = {place: told for place, told in self.known.items() if place[0] != ip}

    async def ask(self, ip, port, hold_s):
        """One ask; the Answer once it is heard. Raises CallFailed where there is none."""
        body = self._ask(ip, port, hold_s).encode()
        loop = asyncio.get_running_loop()
        try:
            reply = await self.caller.call(ip, port, PATH, body, hold_s + MARGIN_S, idempotent=True)
            answer = Answer.decode(reply, ip)
        except GatewayError as error:
            self.backoff.silent(ip, loop.time())
            raise CallFailed(error.operation, error.reason, error.peer) from error
        now = loop.time()
        self.backoff.answered(ip, now + (answer.later_s or 0.0))
        self.publisher.hear_answer(answer)
        self.known[ip, port] = answer.life, answer.rev
        return answer
