"""Each guard of dissemination taken out alone makes the scenario that it guards fail (docs/design/control.md,
chapter 0)."""

from dataclasses import dataclass
from typing import Any
from unittest import mock

from mutation import fails, scenarios
from ward import each, test

from honeywood.gateway.controller import contact, retention
from honeywood.gateway.controller.machine_records import MachineRecords
from honeywood.gateway.controller.machines import DEPARTED_ROW, Machines
from honeywood.gateway.dissemination import chunk, departed, epochs, store
from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.link_pacer import LinkPacer
from honeywood.gateway.dissemination.local import LocalRecords
from honeywood.gateway.dissemination.messages import Answer, Asker
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.proxy.rollout_reports import RolloutReports

Store = store.Store
LINKS = scenarios("test_dissemination_links")
EPOCHS = scenarios("test_epochs")
FOREVER = 1e9  # seconds


def everything(self, found, most, have=None):
    return list(found), None, self.rev


def any_chunks(self, piece):
    stamp, marked, text = self.open.get(piece.key, (piece.stamp, piece.mark, ""))
    self.open[piece.key] = stamp, marked, text + piece.text
    return None if len(text + piece.text) < piece.length else piece


def unlike(self, *given):
    return None


def counts_always(self, controller, records_for=RolloutReports.records_for):
    self.acknowledged.clear()
    return records_for(self, controller)


async def looked_up_before(self, rev, ask):
    found = self.store.since(self.store.life, rev, ask.who.controller, ask.held)
    if not found and ask.hold_s:
        await self.changed(ask.hold_s, ask.who.controller)
    return found


def told_to_all(self, key, value):
    self.hear(key, value)
    self._wake(True)


class Unordered(dict):
    def items(self):
        return reversed(list(super().items()))


def unordered(self, *given, init=Publisher.__init__, **more):
    init(self, *given, **more)
    self.waiting = Unordered()


def machines_alone(self, id, record, change=MachineRecords.change):
    if not id.startswith(DEPARTED_ROW):
        change(self, id, record)


def without_names(self, *given, since=Store.since, **more):
    return [one for one in since(self, *given, **more) if not one.key.startswith(departed.PREFIX)]


def without_quorum(self, now, epoch, in_quorum, next=epochs.EpochClock.next):
    return next(self, now, epoch, True)


def no_epoch(self, encode=Asker.encode):
    return {**encode(self), "epoch": 0}


def heard_alone(self, key, bucket):
    """Names that left are kept, and machines of these names stay."""


@dataclass(frozen=True)
class Mutation:
    """`name` of `place` replaced by `by`; the scenario of `file` that begins so must fail."""

    what: str
    place: Any
    name: str
    by: Any
    file: dict
    scenario: str

    def killed(self):
        """Whether the scenario fails without the guard."""
        (scenario,) = [one for text, one in self.file.items() if text.startswith(self.scenario)]
        with mock.patch.object(self.place, self.name, self.by):
            return fails(scenario)


MUTATIONS = (
    Mutation("answers have no bound", Store, "tell", everything, LINKS, "answers stay within"),
    Mutation("any chunks", chunk.ChunkCollector, "take", any_chunks, LINKS, "pieces of another text"),
    Mutation("no earlier values", store, "EARLIER", 1, LINKS, "a version that is being collected"),
    Mutation("no turns on a link", LinkPacer, "behind", lambda *given: 0.0, LINKS, "many fronts that ask"),
    Mutation("no digest", Store, "_sum", unlike, LINKS, "a front that has heard all from others"),
    Mutation("a part is all", Answer, "whole", True, LINKS, "what a front was told"),
    Mutation("a part is silence", Answer, "whole", True, LINKS, "parts of what others know"),
    Mutation("one queue", Publisher, "_turn", lambda turn, ask: turn, LINKS, "a controller is told its part"),
    Mutation("lists of proxies to all", store, "PRIVATE", (), LINKS, "what a front is told doesn't grow"),
    Mutation("counts always told", RolloutReports, "records_for", counts_always, LINKS, "all controllers"),
    Mutation("no backoff", Backoff, "rest", lambda *given: 0.0, LINKS, "whoever gets no answers"),
    Mutation("own records of before", LocalRecords, "heard", unlike, LINKS, "a program that hears its own"),
    Mutation("dead controllers", contact, "VOUCHES_S", FOREVER, LINKS, "a controller that is heard"),
    Mutation("no order of waking", Publisher, "__init__", unordered, LINKS, "who waits is woken"),
    Mutation("all records wake all", Publisher, "_told", told_to_all, LINKS, "who waits is woken"),
    Mutation("no last look", Publisher, "_found", looked_up_before, LINKS, "a note that wakes nobody"),
    Mutation("nothing lapses", epochs, "lapsed", lambda *given: False, EPOCHS, "two days with hundreds"),
    Mutation("counts lapse", retention, "_counts_for", lambda *given: False, EPOCHS, "counts of a proxy"),
    Mutation("lapsed ones come back", Store, "_lapsed", lambda *given: False, EPOCHS, "what has lapsed"),
    Mutation("incarnations alone", Store, "_outlived", lambda *given: False, EPOCHS, "what has lapsed"),
    Mutation("no quorum", epochs.EpochClock, "next", without_quorum, EPOCHS, "the epoch needs a quorum"),
    Mutation("asks without epoch", Asker, "encode", no_epoch, EPOCHS, "programs: controllers that all begin"),
    Mutation("no disk", MachineRecords, "change", machines_alone, EPOCHS, "a machine that left stays"),
    Mutation("names not told", Store, "since", without_names, EPOCHS, "a machine that left stays"),
    Mutation("copies stay", Machines, "hear_departed", heard_alone, EPOCHS, "a copy taken before"),
)


@test("without its guard ({mutation.what}) the scenario {mutation.scenario!r} fails")
def _(mutation=each(*MUTATIONS)):
    assert mutation.killed()
