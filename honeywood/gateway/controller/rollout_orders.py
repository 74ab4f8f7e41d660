"""Operators' calls that start a rollout of a version and read its progress."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeywood.gateway.configuration import packing
from honeywood.gateway.configuration import record as configuration_record
from honeywood.gateway.configuration.check import need
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.controller.call import CallName, never
from honeywood.gateway.controller.machine_record import MachineRecord
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.errors import InvalidInput, NotFound, Unavailable
from honeywood.gateway.rollout import record, transitions

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from honeywood.gateway.controller.peer_polling import PeerPolling
    from honeywood.gateway.controller.register_access import RegisterAccess, StoredValue
    from honeywood.gateway.controller.rollout_evidence import RolloutEvidence
    from honeywood.gateway.controller.stall_detector import StallDetector
    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.rollout.record import Rollout

ORDER_LIFETIME_S = 1.0  # seconds after which the sender has given up; an older order starts no rollout
# Seconds beyond `ack_s` in which an order may be repeated: the sender's last attempt may take that long.
REPEAT_MARGIN_S = 1.0
# Seconds for which an order for a reverted version waits for its caller to disconnect. An order delayed by a
# network partition is followed by the disconnect of a caller that gave up.
DEPARTURE_GRACE_S = 0.25
DURATION_MIN_S = 0.001


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to roll out a version of a service within `duration_s` seconds."""

    service: str
    version: str
    duration_s: float

    @classmethod
    def decode(cls, body: Mapping[str, object]) -> RolloutOrder:
        """Return the order in a call's body; raises InvalidInput, which names the invalid key."""
        service = need(body, "svc", str, CallName.START_ROLLOUT)
        version = need(body, "to_ver", str, CallName.START_ROLLOUT)
        duration_s = need(body, "over_s", float, CallName.START_ROLLOUT, least=DURATION_MIN_S)
        return cls(service, version, duration_s)


class RolloutOrders:
    """Operators' access to the rollouts: starts and reads them."""

    def __init__(
        self,
        register: RegisterAccess,
        store: Store,
        evidence: RolloutEvidence,
        peers: PeerPolling,
        stalls: StallDetector,
        acknowledge_within_s: float,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Operators repeat an order for `acknowledge_within_s` seconds; `clock` returns monotonic seconds."""
        self.register, self.store, self.evidence, self.peers = register, store, evidence, peers
        self.stalls, self.clock, self.log = stalls, clock, log
        self.repeat_within_s = acknowledge_within_s + REPEAT_MARGIN_S

    async def read(self, service: str, peer: str) -> Rollout:
        """Return the rollout of a service; raises NotFound if a majority holds none."""
        value = await self.register.read(CallName.READ_ROLLOUT, RecordKind.ROLLOUT.key(service), peer)
        if value is None:
            raise NotFound(CallName.READ_ROLLOUT, f"no rollout of {service!r}", peer)
        return record.decode(value)

    async def start(self, order: RolloutOrder, peer: str, has_left: Callable[[], bool] = never) -> Rollout:
        """Start a rollout and return it; a repeated order returns the rollout that it started before.

        Raises Unavailable if the order may be outdated or its caller has disconnected: no rollout starts
        unless a caller waits for the result.
        """
        arrived_at = self.clock()
        if self.stalls.resumed_recently:
            raise self._refusal("this controller stood still; the order may be an old one", peer)
        current = await self._current_rollout(order.service, peer)
        is_only_version = await self._is_only_version_anywhere(order, peer)
        if transitions.was_reverted(current, order.version):
            await asyncio.sleep(DEPARTURE_GRACE_S)

        def begin(stored_rollout: Rollout | None) -> Rollout:
            if has_left():
                raise self._refusal("its caller has left", peer)
            if self.clock() - arrived_at > ORDER_LIFETIME_S:
                raise self._refusal("too late; it is no longer waited for", peer)
            return self._rollout_after_order(
                order, stored_rollout, is_only_version and self._is_only_version(order)
            )

        def update(stored: StoredValue | None) -> StoredValue | None:
            return transitions.update_stored(stored, begin)

        key = RecordKind.ROLLOUT.key(order.service)
        rollout = record.decode(await self.register.change(CallName.START_ROLLOUT, key, update, peer))
        self.log.info(
            "rollout ordered",
            svc=order.service,
            to_ver=order.version,
            over_s=order.duration_s,
            n=rollout.revision,
            state=rollout.state,
        )
        return rollout

    @staticmethod
    def _refusal(reason: str, peer: str) -> Unavailable:
        """Return the error after which the caller repeats the order at another controller."""
        return Unavailable(CallName.START_ROLLOUT, reason, peer)

    def _rollout_after_order(
        self, order: RolloutOrder, previous: Rollout | None, is_only_version: bool
    ) -> Rollout:
        """Return the rollout after an order; `previous` is the one before it."""
        known_s = 0.0 if previous is None else self.evidence.known_for_s(previous)
        return transitions.start_rollout(
            previous,
            order.service,
            order.version,
            order.duration_s,
            known_s,
            self.repeat_within_s,
            is_only_version,
        )

    async def _current_rollout(self, service: str, peer: str) -> Rollout | None:
        """Return the rollout of a service or None; raises InvalidInput if the configuration lacks it."""
        configuration, value = await asyncio.gather(
            self.register.read(CallName.START_ROLLOUT, RecordKind.CONFIGURATION, peer),
            self.register.read(CallName.START_ROLLOUT, RecordKind.ROLLOUT.key(service), peer),
        )
        if configuration is not None:
            raw = packing.unpack(configuration_record.decode(configuration).text)
            if service not in read_configuration(raw).services:
                raise InvalidInput(CallName.START_ROLLOUT, f"svc {service!r} is not known", peer)
        return None if value is None else record.decode(value)

    def _is_only_version(self, order: RolloutOrder) -> bool:
        """Return whether all machines of the service that are known here and in service run the version."""
        machines = (MachineRecord.decode(value) for _, value in self.store.items_of(RecordKind.MACHINE))
        serving = (machine for machine in machines if machine.in_service)
        return {one.version for one in serving if one.service == order.service} == {order.version}

    async def _is_only_version_anywhere(self, order: RolloutOrder, peer: str) -> bool:
        """Return the result of `_is_only_version` after polling the other controllers for all they know.

        An order for the only version is answered as done at once, and the operator then stops all machines of
        other versions. So the answer must not depend on what one controller knew before the order arrived.
        """
        if not self._is_only_version(order):
            return False
        if not await self.peers.poll_all():
            raise self._refusal("too few other controllers told which machines they know", peer)
        return self._is_only_version(order)
