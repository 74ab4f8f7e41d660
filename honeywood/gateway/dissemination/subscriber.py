"""Polls other programs for their changes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from honeywood.gateway.dissemination.messages import PollRequest, PollResponse
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.dissemination.transfers import Transfers
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

RESPONSE_MARGIN_S = 0.5  # that a response may take in addition to the time for which the poll is held


def no_records(ip: str) -> list[Record]:
    """Returns no records; the default of `records_for`."""
    return []


@dataclass(frozen=True, slots=True)
class Position:
    """The revision of a peer's store up to which all changes were received, and the store's incarnation."""

    incarnation: str = ""
    revision: int = 0


class Subscriber:
    """Polls peers and merges their responses; `positions` are by the peer's address and port."""

    def __init__(
        self,
        store: Store,
        assembler: ChunkAssembler,
        caller: Caller,
        requester: Callable[[], Requester],
        backoff: Backoff,
        max_bytes: Callable[[], int],
        records_for: Callable[[str], list[Record]] = no_records,
        transfers: Transfers | None = None,
    ) -> None:
        """Initially no peer has been polled.

        Responses are merged into `store`, chunks of long records into `assembler`. `requester()` returns the
        program that polls, `max_bytes()` the maximum size of the next response, and `records_for(ip)` the
        records that are sent to a peer with a poll. Peers that fail are recorded in `backoff`. `transfers`
        observes the responses.
        """
        self.store = store
        self.assembler = assembler
        self.caller = caller
        self.requester = requester
        self.backoff = backoff
        self.max_bytes = max_bytes
        self.records_for = records_for
        self.transfers = transfers or Transfers()
        self.positions: dict[tuple[str, int], Position] = {}

    def forget(self, ip: str) -> None:
        """Drops the state of a peer that is no longer polled."""
        self.backoff.forget(ip)
        self.positions = {peer: position for peer, position in self.positions.items() if peer[0] != ip}

    async def poll(self, ip: str, port: int, hold_s: float) -> PollResponse:
        """Polls a peer and merges its response.

        Raises CallFailed if there is no valid response, and InvalidMessage if one of its records cannot be
        merged.
        """
        loop = asyncio.get_running_loop()
        try:
            response = await self._call(ip, port, hold_s)
        except CallFailed:
            self.backoff.record_failure(ip, loop.time())
            raise
        self.backoff.record_success(ip, loop.time() + (response.retry_after_s or 0.0))
        self.transfers.observe(ip, response, loop.time())
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
        known_stamps = self.store.large_record_stamps()
        self.assembler.drop_superseded(known_stamps)
        return PollRequest(
            requester=replace(self.requester(), epoch=self.store.epoch),
            incarnation=position.incarnation,
            revision=position.revision,
            records=self.records_for(ip),
            hold_s=hold_s,
            digest=self.store.digest,
            max_bytes=self.max_bytes(),
            known_stamps=known_stamps,
            progress=self.assembler.progress(),
            bases=self.store.large_records.bases(),
        )

    def _merge(self, response: PollResponse) -> None:
        self.store.merge(response.records)
        record = self.assembler.add(response.chunk) if response.chunk else None
        if record:
            self.store.merge([record])
