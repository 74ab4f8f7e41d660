"""Each guard of dissemination taken out alone makes the scenario that it guards fail (docs/design/control.md,
chapter 0)."""

from dataclasses import dataclass
from typing import Any
from unittest import mock

from mutation import fails, scenarios
from ward import each, test

from honeywood.gateway.controller import contacts, count_retention
from honeywood.gateway.controller.machine_row_writer import MachineRowWriter
from honeywood.gateway.controller.machine_table import DEPARTED_ROW_PREFIX, MachineTable
from honeywood.gateway.dissemination import epochs, keys, large_records, tombstones
from honeywood.gateway.dissemination.backoff import Backoff
from honeywood.gateway.dissemination.change_feed import Batch, ChangeFeed
from honeywood.gateway.dissemination.chunks import ChunkAssembler, PartialValue
from honeywood.gateway.dissemination.digest import StoreDigest
from honeywood.gateway.dissemination.link_pacer import LinkPacer
from honeywood.gateway.dissemination.local_records import LocalRecords
from honeywood.gateway.dissemination.messages import PollResponse, Requester
from honeywood.gateway.dissemination.poll_waiters import PollWaiters
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.store import Store
from honeywood.gateway.proxy.rollout_reports import RolloutReports
from honeywood.gateway.rpc.text_chunks import PartialText

FILES = (
    "change_feed",
    "chunks",
    "epochs",
    "local_records",
    "poll_waiters",
    "programs",
    "publisher",
    "subscriber",
    "tombstones",
)
SCENARIOS = {
    description: scenario
    for file in FILES
    for description, scenario in scenarios(f"dissemination/test_{file}").items()
}
FOREVER = 1e9  # seconds


def everything(self, changes, max_bytes, progress=None):
    return Batch(list(changes), None, self.store.revision)


def any_chunks(self, chunk):
    empty = PartialValue(chunk.stamp, PartialText(chunk.content.digest))
    begun = self.partial.get(chunk.key, empty)
    content = begun.content.extended(chunk.content)
    self.partial[chunk.key] = PartialValue(begun.stamp, content)
    return None if len(content.text) < chunk.content.length else chunk


def unlike(self, *given):
    return None


def counts_always(self, controller, records_for=RolloutReports.records_for):
    self.acknowledged.clear()
    return records_for(self, controller)


async def looked_up_before(self, revision, poll):
    is_controller = poll.requester.is_controller
    found = self.feed.since(self.store.incarnation, revision, is_controller, poll.known_stamps)
    if not found and poll.hold_s:
        await self.waiters.wait(poll.hold_s, is_controller)
    return found


def told_to_all(self, key, value):
    self._on_update(key, value)
    self.waiters.wake_all()


class Unordered(dict):
    def items(self):
        return reversed(list(super().items()))


def unordered(self, init=PollWaiters.__init__):
    init(self)
    self._is_controller = Unordered()


def machines_alone(self, key, row, update=MachineRowWriter.update):
    if not key.startswith(DEPARTED_ROW_PREFIX):
        update(self, key, row)


def without_names(self, *given, since=ChangeFeed.since, **more):
    return [one for one in since(self, *given, **more) if not one.key.startswith(tombstones.PREFIX)]


def without_quorum(self, now, epoch, in_quorum, advance=epochs.EpochClock.advance):
    return advance(self, now, epoch, True)


def no_epoch(self, encode=Requester.encode):
    return {**encode(self), "epoch": 0}


def heard_alone(self, key, bucket):
    """Names that left are kept, and machines of these names stay."""


@dataclass(frozen=True)
class Mutation:
    """`name` of `place` replaced by `by`; the scenario that begins so must fail."""

    what: str
    place: Any
    name: str
    by: Any
    scenario: str

    def killed(self):
        """Whether the scenario fails without the guard."""
        (scenario,) = [one for text, one in SCENARIOS.items() if text.startswith(self.scenario)]
        with mock.patch.object(self.place, self.name, self.by):
            return fails(scenario)


MUTATIONS = (
    Mutation(
        "answers have no bound", ChangeFeed, "batch", everything, "batches stay within {most} bytes, and one"
    ),
    Mutation("any chunks", ChunkAssembler, "add", any_chunks, "chunks of another text with the same stamp,"),
    Mutation(
        "no earlier values", large_records, "VERSIONS_KEPT", 1, "a version that a receiver has begun is sent"
    ),
    Mutation(
        "no turns on a link",
        LinkPacer,
        "backlog_s",
        lambda *given: 0.0,
        "many proxies that poll one relay at once are",
    ),
    Mutation("no digest", StoreDigest, "toggle", unlike, "a proxy that has all records from others is"),
    Mutation("a part is all", PollResponse, "is_complete", True, "a response with {what} renews"),
    Mutation(
        "a part is silence", PollResponse, "is_complete", True, "incomplete responses of others make no"
    ),
    Mutation(
        "one queue",
        Publisher,
        "_link_wait_s",
        lambda self, wait_s, is_controller: wait_s,
        "a controller is answered at once, however",
    ),
    Mutation(
        "lists of proxies to all",
        keys,
        "CONTROLLER_ONLY_PREFIXES",
        (),
        "what a proxy is sent doesn't grow with their",
    ),
    Mutation("counts always told", RolloutReports, "records_for", counts_always, "all controllers"),
    Mutation(
        "no backoff", Backoff, "remaining_s", lambda *given: 0.0, "a proxy without responses polls less and"
    ),
    Mutation(
        "own records of before",
        LocalRecords,
        "on_update",
        unlike,
        "a program publishes above the records of its",
    ),
    Mutation(
        "dead controllers",
        contacts,
        "OBSERVER_TIMEOUT_S",
        FOREVER,
        "a controller without contact keeps no proxy",
    ),
    Mutation(
        "no order of waking", PollWaiters, "__init__", unordered, "held polls are woken in the order in which"
    ),
    Mutation(
        "all records wake all",
        Publisher,
        "_record_changed",
        told_to_all,
        "held polls are woken in the order in which",
    ),
    Mutation(
        "no last look",
        Publisher,
        "_wait_for_changes",
        looked_up_before,
        "a record that wakes no poll and comes while",
    ),
    Mutation(
        "nothing lapses",
        epochs,
        "is_expired",
        lambda *given: False,
        "two days with hundreds of restarts, clocks",
    ),
    Mutation(
        "counts lapse",
        count_retention,
        "_is_needed_by",
        lambda *given: False,
        "counts of a proxy that has ended are",
    ),
    Mutation(
        "lapsed ones come back",
        Store,
        "_must_expire",
        lambda *given: False,
        "expired records are taken from no one, and",
    ),
    Mutation(
        "incarnations alone",
        Store,
        "_is_superseded",
        lambda *given: False,
        "expired records are taken from no one, and",
    ),
    Mutation(
        "no quorum", epochs.EpochClock, "advance", without_quorum, "the epoch advances in quorum after its"
    ),
    Mutation(
        "asks without epoch", Requester, "encode", no_epoch, "programs: controllers that all start again,"
    ),
    Mutation(
        "no disk", MachineRowWriter, "update", machines_alone, "a tombstone outlives {what}: a late copy of"
    ),
    Mutation(
        "names not told", ChangeFeed, "since", without_names, "a tombstone outlives {what}: a late copy of"
    ),
    Mutation(
        "copies stay",
        MachineTable,
        "observe_departed",
        heard_alone,
        "a copy taken before a controller had the",
    ),
)


@test("without its guard ({mutation.what}) the scenario {mutation.scenario!r} fails")
def _(mutation=each(*MUTATIONS)):
    assert mutation.killed()
