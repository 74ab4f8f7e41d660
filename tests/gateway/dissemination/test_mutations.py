"""Each safeguard of dissemination, removed alone, makes the scenario fail that depends on it
(docs/design/control.md, chapter 0)."""

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
FOREVER_S = 1e9


def unbounded_batch(self, changes, max_bytes, progress=None):
    return Batch(list(changes), None, self.store.revision)


def add_any_chunk(self, chunk):
    empty = PartialValue(chunk.stamp, PartialText(chunk.content.digest))
    begun = self.partial.get(chunk.key, empty)
    content = begun.content.extended(chunk.content)
    self.partial[chunk.key] = PartialValue(begun.stamp, content)
    return None if len(content.text) < chunk.content.length else chunk


def do_nothing(self, *arguments):
    return None


def records_without_acknowledgement(self, controller, records_for=RolloutReports.records_for):
    self.acknowledged.clear()
    return records_for(self, controller)


async def look_up_before_wait(self, revision, poll):
    is_controller = poll.requester.is_controller
    found = self.feed.since(self.store.incarnation, revision, is_controller, poll.known_stamps)
    if not found and poll.hold_s:
        await self.waiters.wait(poll.hold_s, is_controller)
    return found


def wake_all_polls(self, key, value):
    self._on_update(key, value)
    self.waiters.wake_all()


class ReversedDict(dict):
    def items(self):
        return reversed(list(super().items()))


def init_with_reversed_waiters(self, init=PollWaiters.__init__):
    init(self)
    self._is_controller = ReversedDict()


def write_machines_only(self, key, row, update=MachineRowWriter.update):
    if not key.startswith(DEPARTED_ROW_PREFIX):
        update(self, key, row)


def since_without_tombstones(self, *arguments, since=ChangeFeed.since, **options):
    return [one for one in since(self, *arguments, **options) if not one.key.startswith(tombstones.PREFIX)]


def advance_without_quorum(self, now, epoch, in_quorum, advance=epochs.EpochClock.advance):
    return advance(self, now, epoch, True)


def encode_without_epoch(self, encode=Requester.encode):
    return {**encode(self), "epoch": 0}


def ignore_tombstones(self, key, bucket):
    """Ignores tombstones, so that the records of their machines stay."""


@dataclass(frozen=True)
class Mutation:
    """Replaces `attribute` of `target`; the scenario whose description begins with `scenario` must fail."""

    effect: str
    target: Any
    attribute: str
    replacement: Any
    scenario: str

    def killed(self):
        """Returns whether the scenario fails without the safeguard."""
        (scenario,) = [test for text, test in SCENARIOS.items() if text.startswith(self.scenario)]
        with mock.patch.object(self.target, self.attribute, self.replacement):
            return fails(scenario)


MUTATIONS = (
    Mutation(
        "responses have no size limit",
        ChangeFeed,
        "batch",
        unbounded_batch,
        "batches stay within {max_bytes} bytes, and",
    ),
    Mutation(
        "any chunk is accepted",
        ChunkAssembler,
        "add",
        add_any_chunk,
        "chunks of another text with the same stamp,",
    ),
    Mutation(
        "no previous versions are kept",
        large_records,
        "VERSIONS_KEPT",
        1,
        "a version that a receiver has begun is",
    ),
    Mutation(
        "responses on a link are not paced",
        LinkPacer,
        "backlog_s",
        lambda *arguments: 0.0,
        "many proxies that poll one relay at once are",
    ),
    Mutation(
        "stores have no digest",
        StoreDigest,
        "toggle",
        do_nothing,
        "a proxy that has all records from other peers",
    ),
    Mutation(
        "a partial response counts as complete for a lease",
        PollResponse,
        "is_complete",
        True,
        "a response with {what} renews",
    ),
    Mutation(
        "a partial response counts as complete for heartbeats",
        PollResponse,
        "is_complete",
        True,
        "incomplete responses of peers make no",
    ),
    Mutation(
        "controllers wait behind proxies",
        Publisher,
        "_link_wait_s",
        lambda self, wait_s, is_controller: wait_s,
        "a controller is answered at once, however",
    ),
    Mutation(
        "records for controllers are sent to proxies",
        keys,
        "CONTROLLER_ONLY_PREFIXES",
        (),
        "what a proxy is sent doesn't grow with the",
    ),
    Mutation(
        "counts are sent with every poll",
        RolloutReports,
        "records_for",
        records_without_acknowledgement,
        "all controllers",
    ),
    Mutation(
        "polls have no backoff",
        Backoff,
        "remaining_s",
        lambda *arguments: 0.0,
        "a proxy without responses polls less and",
    ),
    Mutation(
        "records of the previous incarnation win",
        LocalRecords,
        "on_update",
        do_nothing,
        "a program publishes with higher stamps than",
    ),
    Mutation(
        "sightings of controllers without contact never expire",
        contacts,
        "OBSERVER_TIMEOUT_S",
        FOREVER_S,
        "a controller without contact keeps no proxy in",
    ),
    Mutation(
        "polls are woken in another order",
        PollWaiters,
        "__init__",
        init_with_reversed_waiters,
        "held polls are woken in the order in which",
    ),
    Mutation(
        "all records wake all polls",
        Publisher,
        "_record_changed",
        wake_all_polls,
        "held polls are woken in the order in which",
    ),
    Mutation(
        "changes are looked up before the wait only",
        Publisher,
        "_wait_for_changes",
        look_up_before_wait,
        "a record that wakes no poll and arrives while",
    ),
    Mutation(
        "no record expires",
        epochs,
        "is_expired",
        lambda *arguments: False,
        "two days with hundreds of restarts, clocks",
    ),
    Mutation(
        "counts expire although a rollout needs them",
        count_retention,
        "_is_needed_by",
        lambda *arguments: False,
        "counts of a proxy that has ended are",
    ),
    Mutation(
        "expired records are accepted",
        Store,
        "_must_expire",
        lambda *arguments: False,
        "expired records are accepted from no peer, and",
    ),
    Mutation(
        "incarnations are compared after expiry",
        Store,
        "_is_superseded",
        lambda *arguments: False,
        "expired records are accepted from no peer, and",
    ),
    Mutation(
        "the epoch advances without quorum",
        epochs.EpochClock,
        "advance",
        advance_without_quorum,
        "the epoch advances in quorum after its",
    ),
    Mutation(
        "polls have no epoch",
        Requester,
        "encode",
        encode_without_epoch,
        "programs: controllers that all start again,",
    ),
    Mutation(
        "tombstones are not on disk",
        MachineRowWriter,
        "update",
        write_machines_only,
        "a tombstone outlives {what}: a late copy of",
    ),
    Mutation(
        "tombstones are not published",
        ChangeFeed,
        "since",
        since_without_tombstones,
        "a tombstone outlives {what}: a late copy of",
    ),
    Mutation(
        "copies are not withdrawn",
        MachineTable,
        "observe_departed",
        ignore_tombstones,
        "a copy accepted before a controller had the",
    ),
)


@test("without a safeguard ({mutation.effect}) the scenario {mutation.scenario!r} fails")
def _(mutation=each(*MUTATIONS)):
    assert mutation.killed()
