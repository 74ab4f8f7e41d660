"""Dispatches the bench's batches of events to the instances and collects their replies."""

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
    """All instances of this process, and the server lists that they share."""

    def __init__(self) -> None:
        """Create a process without instances."""
        self.instances: dict[int, Instance] = {}
        self._lists: dict[int, list[codec.ListEntry]] = {}  # by list number

    def answer(self, clock_us: int, records: Sequence[bytes], tail: bytes) -> codec.Reply:
        """Process a batch of events and return the reply. Raises InvalidFrame."""
        batch = Batch(self, codec.tenths_of_ms(clock_us), tail)
        for record in records:
            try:
                batch.on_record(record)
            except codec.InvalidFrame:
                raise
            except Exception:  # noqa: BLE001 - any fault of the decisions is reported to the bench
                fault = codec.Reply()
                fault.add(batch.number, codec.BAIL_OUT, text=traceback.format_exc())
                return fault
        return batch.reply

    def store_list(self, number: int, entries: list[codec.ListEntry]) -> None:
        """Store a server list to which later events refer by its number."""
        self._lists[number] = entries

    def find_list(self, number: int) -> list[codec.ListEntry]:
        """The list of this number; empty if there is none."""
        return self._lists.get(number, [])


class Batch:
    """A batch being processed; an event belongs to the instance selected by the last CONTEXT record."""

    def __init__(self, process: Process, now: Time, tail: bytes) -> None:
        """Create a batch with no instance selected."""
        self.reply = codec.Reply()
        self.number = 0
        self._process, self._now, self._tail = process, now, tail
        self._instance: Instance | None = None

    def on_record(self, record: bytes) -> None:
        """Process one record; records with an unknown code are ignored. Raises InvalidFrame."""
        code = codec.code_of(record)
        if code == codec.CONTEXT:
            (self.number,) = codec.fields(code, record)
            self._instance = self._process.instances.get(self.number)
        elif code == codec.ROSTER:
            number, start, count = codec.fields(code, record)
            self._process.store_list(number, codec.entries(self._tail, start, count))
        elif code == codec.EXIT:
            self._instance = None
            self._process.instances.pop(self.number, None)
        elif code == codec.HELLO:
            self._start_instance(*codec.fields(code, record))
        elif code in codec.EVENTS and self._instance is not None:
            self._on_event(self._instance, code, record)

    def _start_instance(self, seed: int, start: int, length: int) -> None:
        settings = codec.tail_part(self._tail, start, length)
        self._instance = self._process.instances[self.number] = Instance(self.number, seed, settings)
        self._instance.reply = self.reply
        self._instance.balancer.on_start(self._now)

    def _on_event(self, instance: Instance, code: int, record: bytes) -> None:
        instance.reply = self.reply
        if code == codec.VIEW:
            number, _, kind = codec.fields(code, record)
            instance.on_view(self._now, self._process.find_list(number), kind)
        else:
            instance.on_event(self._now, code, record)


def main() -> int:
    """Answer the frames on standard input until it ends; return the exit status."""
    process, input_stream, output_stream = Process(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := codec.read_frame(input_stream)) is not None:
            output_stream.write(process.answer(*frame).frame())
            output_stream.flush()
    except codec.InvalidFrame as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0
