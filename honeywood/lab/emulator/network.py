"""The simulated network: calls between programs and from outside are delayed, lost, duplicated or blocked.

A message in transit belongs to no process and is delivered even if its sender has terminated.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Coroutine, Iterable, Sequence
from contextvars import Context
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from honeywood.gateway.controller.call import Call, CallName
from honeywood.gateway.errors import CallFailed, GatewayError
from honeywood.gateway.rpc.statuses import INTERNAL_ERROR, status_of
from honeywood.lab.emulator.process import FULL_SPEED

if TYPE_CHECKING:
    from typing import Any, TypeAlias

    from honeywood.lab.emulator.loop import Loop
    from honeywood.lab.emulator.process import Process

    Link: TypeAlias = tuple[str, str]
    """The names of the sender and the receiver."""

OUTSIDE = "outside"
"""The name of all clients, machines and operators together as one end of a link."""
OPERATOR = "op"
"""The peer address of calls from outside, as seen by the programs."""
NO_RESPONSE = 0
"""The status of a call that received no response."""
MIN_DUPLICATE_DELAY_S = 0.2
MAX_DUPLICATE_DELAY_S = 6.0
"""Added to MIN_DUPLICATE_DELAY_S."""
MAX_ROLLOUT_DUPLICATE_DELAY_S = 1.6
"""For orders of rollouts, which, including duplicates, are only sent within ack_s."""


class CallResult(NamedTuple):
    """The status of a call with its response or error; the status is NO_RESPONSE if there is neither."""

    status: int
    response: object


@dataclass(frozen=True, slots=True)
class Message:
    """A call between two programs in transit."""

    source: str
    target: str
    path: str
    body: str
    idempotent: bool = True


class Network:
    """The links between programs.

    `partitions` are the directed links that are blocked; either end may be OUTSIDE. `nodes` and `processes`
    hold the running programs and their processes by name; `incarnations` counts the starts and kills of each
    program. `latency_s`, `loss_share` and `duplicate_share` apply to every link;
    `bytes_per_s` limits the bandwidth of individual programs. `unexpected_errors` collects exceptions of
    handlers that are not GatewayErrors.
    """

    def __init__(self, loop: Loop, seed: int) -> None:
        """Create a network whose random numbers, and those of programs' starts, are determined by `seed`."""
        self.loop = loop
        self.random = random.Random(seed)
        self.nodes: dict[str, Any] = {}  # a Controller if the name is in `controllers`, otherwise a Proxy
        self.processes: dict[str, Process] = {}
        self.incarnations: dict[str, int] = {}
        self.controllers: Sequence[str] = ()
        self.partitions: set[Link] = set()
        self.latency_s = 0.001
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self.bytes_per_s: dict[str, float] = {}
        self.unexpected_errors: list[BaseException] = []
        self._link_free_at: dict[str, float] = {}

    def partition(self, name: str, others: Iterable[str]) -> None:
        """Block the links between a program and others in both directions."""
        others = list(others)
        self.partitions |= {(name, other) for other in others} | {(other, name) for other in others}

    def heal(self) -> None:
        """Unblock all links."""
        self.partitions.clear()

    def _is_lost(self, source: str, target: str) -> bool:
        """Return whether a message sent now on a link is lost; the loss is drawn at random."""
        if (source, target) in self.partitions:
            return True
        return self.loss_share > 0 and self.random.random() < self.loss_share

    def _is_duplicated(self) -> bool:
        return self.duplicate_share > 0 and self.random.random() < self.duplicate_share

    def _queueing_s(self, name: str, size_bytes: int) -> float:
        """Queue bytes on a program's link; return the seconds until they have been sent."""
        if name not in self.bytes_per_s:
            return 0.0
        now = self.loop.time()
        free_at = max(now, self._link_free_at.get(name, 0.0)) + size_bytes / self.bytes_per_s[name]
        self._link_free_at[name] = free_at
        return free_at - now

    def _draw_latency_s(self) -> float:
        return self.latency_s * (1 + self.random.random())

    def send(self, message: Message) -> asyncio.Future[Any]:
        """Send a call and return the future of its response, which may be lost although the call arrived."""
        response: asyncio.Future[Any] = self.loop.create_future()
        self.loop.create_task(self._deliver(message, response), context=Context())
        return response

    async def _deliver(self, message: Message, response: asyncio.Future[Any] | None) -> None:
        """Deliver a call to its target and return the response; `response` is None for a duplicate."""
        source, target = message.source, message.target
        latency_s = self._draw_latency_s()
        incarnation = self.incarnations.get(target)
        await asyncio.sleep(latency_s + self._queueing_s(source, len(message.body)))
        if self._is_lost(source, target):
            return
        if message.idempotent and response is not None and self._is_duplicated():
            self.loop.create_task(self._send_duplicate(message))
        node = self.nodes.get(target)
        if node is None:
            self._refuse(message, response)
            return
        text = ""
        error: GatewayError | None = None
        try:
            text = json.dumps(await self.processes[target].run(self._handle(message, node)))
        except asyncio.CancelledError:
            return  # the process was terminated
        except Exception as raised:  # raised by the handler; recorded unless it is a GatewayError
            error = self._as_gateway_error(raised, message)
        await asyncio.sleep(self._draw_latency_s() + self._queueing_s(target, len(text)))
        if response is None or response.done() or self._is_lost(target, source):
            return
        if incarnation != self.incarnations.get(target):
            return
        if error is None:
            response.set_result(json.loads(text))
        else:
            response.set_exception(error)

    def _handle(self, message: Message, node: Any) -> Coroutine[Any, Any, object]:
        """Return the coroutine in which a program handles a call from another program."""
        body = message.body.encode()
        handling: Coroutine[Any, Any, object]
        if message.target in self.controllers:
            handling = node.app.internal_handlers[message.path](Call("", body, message.source))
        else:
            handling = node.app.peers.answer_poll(body, message.source)
        return handling

    def _refuse(self, message: Message, response: asyncio.Future[Any] | None) -> None:
        """Refuse a call to a program that is not running; a frozen or slowed process does not respond."""
        process = self.processes.get(message.target)
        if response is None or response.done():
            return
        if process is None or process.slowdown == FULL_SPEED:
            response.set_exception(CallFailed(message.path, "refused", message.target))

    def _as_gateway_error(self, error: Exception, message: Message) -> GatewayError:
        if isinstance(error, GatewayError):
            return error
        self.unexpected_errors.append(error)
        return CallFailed(message.path, repr(error), message.target)

    async def _send_duplicate(self, message: Message) -> None:
        """Deliver a call a second time, seconds later; its response is not awaited."""
        await asyncio.sleep(MIN_DUPLICATE_DELAY_S + MAX_DUPLICATE_DELAY_S * self.random.random())
        await self._deliver(message, None)

    async def ask(
        self,
        name: str,
        call: str,
        subject: str = "",
        body: object = None,
        timeout_s: float = 1.0,
        may_duplicate: bool = True,
    ) -> CallResult:
        """Call one controller as an operator or a machine and return the result.

        `subject` is what the call is about, such as a machine's id. With `may_duplicate`, the network may
        deliver the call twice.
        """
        raw = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        incarnation, node = self.incarnations.get(name), self.nodes.get(name)
        if node is None:
            return CallResult(NO_RESPONSE, None)
        if self._is_lost(OUTSIDE, name):
            await asyncio.sleep(timeout_s)
            return CallResult(NO_RESPONSE, None)
        if may_duplicate and self._is_duplicated():
            self.loop.create_task(self._send_duplicate_call(name, call, subject, raw))
        handler = node.app.operations.handlers[call]
        handling = self.processes[name].run(handler(Call(subject, raw, OPERATOR)))
        handling.add_done_callback(self._record_unexpected_error)
        await asyncio.wait(
            (handling,), timeout=timeout_s
        )  # after a time-out the program still completes the call
        if not handling.done() or handling.cancelled() or self._is_lost(name, OUTSIDE):
            return CallResult(NO_RESPONSE, None)
        if incarnation != self.incarnations.get(name):
            return CallResult(NO_RESPONSE, None)
        error = handling.exception()
        if error is None:
            return CallResult(HTTPStatus.OK, handling.result())
        if isinstance(error, GatewayError):
            return CallResult(status_of(error), error)
        return CallResult(INTERNAL_ERROR, None)

    def _record_unexpected_error(self, handling: asyncio.Future[Any]) -> None:
        error = None if handling.cancelled() else handling.exception()
        if error is not None and not isinstance(error, GatewayError):
            self.unexpected_errors.append(error)

    async def _send_duplicate_call(self, name: str, call: str, subject: str, raw: bytes) -> None:
        is_rollout = call == CallName.START_ROLLOUT
        max_delay_s = MAX_ROLLOUT_DUPLICATE_DELAY_S if is_rollout else MAX_DUPLICATE_DELAY_S
        await asyncio.sleep(MIN_DUPLICATE_DELAY_S + max_delay_s * self.random.random())
        await self.ask(name, call, subject, raw, may_duplicate=False)
