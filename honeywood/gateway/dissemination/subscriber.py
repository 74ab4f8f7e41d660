"""Polls other programs for their changes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from honeywood.gateway.dissemination.messages import PollRequest, PollResponse
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.errors import CallFailed, GatewayError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.dissemination.backoff import Backoff
    from honeywood.gateway.dissemination.chunks import ChunkAssembler
    from honeywood.gateway.dissemination.messages import Requester
    from honeywood.gateway.dissemination.record import Record
    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.rpc.client import Caller

RESPONSE_MARGIN_S = 0.5  # that a response may take beside the time for which the poll is held


def no_records(ip: str) -> list[Record]:
    """The `records_for` of a subscriber that sends no records along."""
    return []


@dataclass(frozen=True, slots=True)
class Position:
    """Up to which revision of a peer's store all changes have come, and the incarnation of that store."""

    incarnation: str = ""
    revision: int = 0


class Subscriber:
    """Polls one peer at a time and merges the response; `positions` are by the peer's address and port."""

    def __init__(
        self,
        store: Store,
        assembler: ChunkAssembler,
        caller: Caller,
        requester: Callable[[], Requester],
        backoff: Backoff,
        max_bytes: Callable[[], int],
        records_for: Callable[[str], list[Record]] = no_records,
    ) -> None:
        """No peer has been polled.

        Responses go to `store`, chunks of long records to `assembler`. `requester()` says who polls,
        `max_bytes()` bounds the next response, `records_for(ip)` gives the records that are sent along to a
        peer; peers that fail are put into `backoff`.
        """
        self.store = store
        self.assembler = assembler
        self.caller = caller
        self.requester = requester
        self.backoff = backoff
        self.max_bytes = max_bytes
        self.records_for = records_for
        self.positions: dict[tuple[str, int], Position] = {}

    def forget(self, ip: str) -> None:
        """Drops what is known of a peer that is no longer polled."""
        self.backoff.forget(ip)
        self.positions = {peer: position for peer, position in self.positions.items() if peer[0] != ip}

    async def poll(self, ip: str, port: int, hold_s: float) -> PollResponse:
        """Polls a peer and merges its response.

        Raises CallFailed where no usable response came, and InvalidMessage where a record of it can't be
        merged.
        """
        loop = asyncio.get_running_loop()
        try:
            response = await self._call(ip, port, hold_s)
        except CallFailed:
            self.backoff.record_failure(ip, loop.time())
            raise
        self.backoff.record_success(ip, loop.time() + (response.retry_after_s or 0.0))
        self._merge(response)
        self.positions[ip, port] = Position(response.incarnation, response.revision)
        return response

    async def _call(self, ip: str, port: int, hold_s: float) -> PollResponse:
        request = self._request(ip, port, hold_s).encode()
        timeout_s = hold_s + RESPONSE_MARGIN_S
        try:
            reply = await self.caller.call(ip, port, PATH, request, timeout_s, idempotent=True)
            return PollResponse.decode(reply, ip)
        except GatewayError as error:
            raise CallFailed(error.operation, error.reason, error.peer) from error

    def _request(self, ip: str, port: int, hold_s: float) -> PollRequest:
        position = self.positions.get((ip, port), Position())
        return PollRequest(
            requester=replace(self.requester(), epoch=self.store.epoch),
            incarnation=position.incarnation,
            revision=position.revision,
            records=self.records_for(ip),
            hold_s=hold_s,
            digest=self.store.digest,
            max_bytes=self.max_bytes(),
            known_stamps=self.store.large_record_stamps(),
            progress=self.assembler.progress(),
        )

    def _merge(self, response: PollResponse) -> None:
        self.store.merge(response.records)
        record = self.assembler.add(response.chunk) if response.chunk else None
        if record:
            self.store.merge([record])
