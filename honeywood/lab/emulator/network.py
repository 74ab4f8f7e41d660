"""The network of a world: calls between programs, and from outside, delayed, lost, duplicated or cut off.

What is in transit belongs to no process, and goes on when its sender ends.
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
"""Clients, machines and operators, as one end of a link."""
OPERATOR = "op"
"""The peer of calls from outside, as programs see it."""
NO_RESPONSE = 0
"""The status of a call without a response."""
MIN_DUPLICATE_DELAY_S = 0.2
MAX_DUPLICATE_DELAY_S = 6.0
"""Beyond the least."""
MAX_ROLLOUT_DUPLICATE_DELAY_S = 1.6
"""Of orders of rollouts, which are sent for ack_s at the most, duplicates too."""


class CallResult(NamedTuple):
    """The status of a call and its response, or the error; NO_RESPONSE without either."""

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
    """Links between programs.

    `partitions` are the directed links that carry nothing; an end may be OUTSIDE. `nodes`, `processes` and
    `incarnations` are the programs that run now, by name. `latency_s`, `loss_share` and `duplicate_share` are
    those of every link; `bytes_per_s` are the rates of some programs' own. `unexpected_errors` are what
    handlers raised that none should.
    """

    def __init__(self, loop: Loop, seed: int) -> None:
        """All random numbers of the network and of programs' starts are drawn from `seed`."""
        self.loop = loop
        self.random = random.Random(seed)
        self.nodes: dict[str, Any] = {}  # Controller or Proxy, by whether the name is in `controllers`
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
        """Cut the links of a program with others, both ways."""
        others = list(others)
        self.partitions |= {(name, other) for other in others} | {(other, name) for other in others}

    def heal(self) -> None:
        """End all partitions."""
        self.partitions.clear()

    def _loses(self, source: str, target: str) -> bool:
        """Return whether what is sent now on a link is lost."""
        if (source, target) in self.partitions:
            return True
        return self.loss_share > 0 and self.random.random() < self.loss_share

    def _duplicates(self) -> bool:
        return self.duplicate_share > 0 and self.random.random() < self.duplicate_share

    def _queueing_s(self, name: str, size_bytes: int) -> float:
        """Return after how many seconds the bytes have left by a program's link."""
        if name not in self.bytes_per_s:
            return 0.0
        now = self.loop.time()
        free_at = max(now, self._link_free_at.get(name, 0.0)) + size_bytes / self.bytes_per_s[name]
        self._link_free_at[name] = free_at
        return free_at - now

    def _draw_latency_s(self) -> float:
        return self.latency_s * (1 + self.random.random())

    def send(self, message: Message) -> asyncio.Future[Any]:
        """Send a call; return the future of its response, which may be lost though the call was not."""
        response: asyncio.Future[Any] = self.loop.create_future()
        self.loop.create_task(self._carry(message, response), context=Context())
        return response

    async def _carry(self, message: Message, response: asyncio.Future[Any] | None) -> None:
        """Carry a call to its target and the response back; a duplicate's response is not awaited."""
        source, target = message.source, message.target
        latency_s = self._draw_latency_s()
        incarnation = self.incarnations.get(target)
        await asyncio.sleep(latency_s + self._queueing_s(source, len(message.body)))
        if self._loses(source, target):
            return
        if message.idempotent and response is not None and self._duplicates():
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
            return  # the process has ended
        except Exception as raised:  # any is the handler's, and is recorded unless it is expected
            error = self._as_gateway_error(raised, message)
        await asyncio.sleep(self._draw_latency_s() + self._queueing_s(target, len(text)))
        if response is None or response.done() or self._loses(target, source):
            return
        if incarnation != self.incarnations.get(target):
            return
        if error is None:
            response.set_result(json.loads(text))
        else:
            response.set_exception(error)

    def _handle(self, message: Message, node: Any) -> Coroutine[Any, Any, object]:
        """Return the handling of a call of another program."""
        body = message.body.encode()
        handling: Coroutine[Any, Any, object]
        if message.target in self.controllers:
            handling = node.app.internal_handlers[message.path](Call("", body, message.source))
        else:
            handling = node.app.peers.answer_poll(body, message.source)
        return handling

    def _refuse(self, message: Message, response: asyncio.Future[Any] | None) -> None:
        """Refuse a call to a program that isn't there; a frozen process doesn't even refuse."""
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
        """Send a call a second time, seconds later; its response is not awaited."""
        await asyncio.sleep(MIN_DUPLICATE_DELAY_S + MAX_DUPLICATE_DELAY_S * self.random.random())
        await self._carry(message, None)

    async def ask(
        self,
        name: str,
        call: str,
        of: str = "",
        body: object = None,
        within: float = 1.0,
        again: bool = True,
    ) -> CallResult:
        """Make an operator's or machine's call to one controller.

        `of` is its subject, `within` the time-out in seconds; with `again` it may be duplicated.
        """
        raw = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        incarnation, node = self.incarnations.get(name), self.nodes.get(name)
        if node is None:
            return CallResult(NO_RESPONSE, None)
        if self._loses(OUTSIDE, name):
            await asyncio.sleep(within)
            return CallResult(NO_RESPONSE, None)
        if again and self._duplicates():
            self.loop.create_task(self._ask_again(name, call, of, raw))
        handler = node.app.operations.handlers[call]
        handling = self.processes[name].run(handler(Call(of, raw, OPERATOR)))
        handling.add_done_callback(self._record_unexpected_error)
        await asyncio.wait((handling,), timeout=within)  # the program goes on with what is given up
        if not handling.done() or handling.cancelled() or self._loses(name, OUTSIDE):
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

    async def _ask_again(self, name: str, call: str, of: str, raw: bytes) -> None:
        is_rollout = call == CallName.START_ROLLOUT
        max_delay_s = MAX_ROLLOUT_DUPLICATE_DELAY_S if is_rollout else MAX_DUPLICATE_DELAY_S
        await asyncio.sleep(MIN_DUPLICATE_DELAY_S + max_delay_s * self.random.random())
        await self.ask(name, call, of, raw, again=False)
