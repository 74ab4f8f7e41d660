"""Deals the bench's batches out to its instances, and gathers their replies."""

from __future__ import annotations

import sys
import traceback

from honeywood.balancer.benchlink import codec
from honeywood.balancer.benchlink.instance import Instance

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.model import Time


class Process:
    """All instances of this process; server lists are shared by them as the wire shares them."""

    def __init__(self) -> None:
        """There is no instance yet."""
        self.instances: dict[int, Instance] = {}
        self._lists: dict[int, list[codec.ListEntry]] = {}  # by number

    def answer(self, clock_us: int, records: Sequence[bytes], tail: bytes) -> codec.Reply:
        """The reply to a batch of events. Raises InvalidFrame."""
        batch = Batch(self, codec.tenths_of_ms(clock_us), tail)
        for record in records:
            try:
                batch.on_record(record)
            except codec.InvalidFrame:
                raise
            except Exception:  # noqa: BLE001 - whatever the decisions raise, the bench is told of it
                fault = codec.Reply()
                fault.add(batch.number, codec.BAIL_OUT, text=traceback.format_exc())
                return fault
        return batch.reply

    def put_list(self, number: int, entries: list[codec.ListEntry]) -> None:
        """Keep a list that instances are shown."""
        self._lists[number] = entries

    def list_of(self, number: int) -> list[codec.ListEntry]:
        """The list of this number, an empty one where there is none."""
        return self._lists.get(number, [])


class Batch:
    """One batch on its way through the instances: events belong to the instance named last."""

    def __init__(self, process: Process, now: Time, tail: bytes) -> None:
        """No instance is named yet."""
        self.reply = codec.Reply()
        self.number = 0
        self._process, self._now, self._tail = process, now, tail
        self._instance: Instance | None = None

    def on_record(self, record: bytes) -> None:
        """Hand one record to whom it concerns; unknown ones are passed over."""
        code = codec.code_of(record)
        if code == codec.CONTEXT:
            (self.number,) = codec.fields(code, record)
            self._instance = self._process.instances.get(self.number)
        elif code == codec.ROSTER:
            number, start, count = codec.fields(code, record)
            self._process.put_list(number, codec.entries(self._tail, start, count))
        elif code == codec.EXIT:
            self._instance = None
            self._process.instances.pop(self.number, None)
        elif code == codec.HELLO:
            self._begin(*codec.fields(code, record))
        elif code in codec.EVENTS and self._instance is not None:
            self._on_event(self._instance, code, record)

    def _begin(self, seed: int, start: int, length: int) -> None:
        settings = codec.cut(self._tail, start, length)
        self._instance = self._process.instances[self.number] = Instance(self.number, seed, settings)
        self._instance.reply = self.reply
        self._instance.balancer.on_start(self._now)

    def _on_event(self, instance: Instance, code: int, record: bytes) -> None:
        instance.reply = self.reply
        if code == codec.VIEW:
            number, _, kind = codec.fields(code, record)
            instance.on_view(self._now, self._process.list_of(number), kind)
        else:
            instance.on_event(self._now, code, record)


def main() -> int:
    """Answer frames on standard input until it ends; the status of the program."""
    process, source, sink = Process(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := codec.read_frame(source)) is not None:
            sink.write(process.answer(*frame).frame())
            sink.flush()
    except codec.InvalidFrame as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0
