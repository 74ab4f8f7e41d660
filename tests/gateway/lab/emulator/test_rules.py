"""Mutation tests: each rule of the emulator is violated when its safeguard is removed from the programs."""

import asyncio
import json
from dataclasses import replace

from ward import each, test

from honeywood.gateway.configuration import packing
from honeywood.gateway.controller import heartbeat
from honeywood.gateway.controller.operations import Operations
from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.record import Record
from honeywood.gateway.dissemination.store import Store
from honeywood.gateway.errors import GatewayError, VersionConflict
from honeywood.gateway.proxy import attempt_sender, poll_interval
from honeywood.gateway.proxy.attempt_sender import AttemptSender
from honeywood.gateway.proxy.client_response import local_response
from honeywood.gateway.proxy.controller_poller import ControllerPoller
from honeywood.gateway.proxy.failure_responses import FailureResponses
from honeywood.gateway.proxy.update_subscription import UpdateSubscription
from honeywood.gateway.register import membership_rules
from honeywood.gateway.register.persistent_state import PersistentState
from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.attempt_policy import AttemptPolicy
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.retry_budget import RetryBudget
from honeywood.gateway.routing.route_table import RouteTable
from honeywood.lab.emulator.day import Day
from honeywood.lab.emulator.emulated_day import play
from honeywood.lab.emulator.faults.fault import Fault, FaultKind
from honeywood.lab.emulator.machine_connection import MachineConnection
from honeywood.lab.emulator.rules.rule import Rule


def fault(kind, at_s=1.0, duration_s=3.0, target=0.5, variant=0.4):
    return Fault(kind, at_s, duration_s, target, variant)


def patches_without_rejection(name):
    """Return patches that remove one reason for rejection from the attempt policy."""

    def without(method):
        original = AttemptPolicy.__dict__[method]
        return lambda *given: None if original(*given) == name else original(*given)

    methods = ("request_rejection", "endpoint_rejection")
    return [(AttemptPolicy, method, without(method)) for method in methods]


def classify_any_response(status, fields, try_id):
    return AttemptOutcome.SUCCESS if 200 <= status < 300 else AttemptOutcome.FAILURE


def exchange_without_expected_header(self, *given, expected_header=None, exchange=MachineConnection.exchange):
    return exchange(self, *given)


def put_last_wins(self, key, stamp, value, put=Store.put):
    if key == "config" and self.get(key) not in (None, value):
        self.records.pop(key)
    return put(self, key, stamp, value)


def records_with_configuration_again(
    self, incarnation, revision, private, known=None, since=ChangeFeed.since
):
    found = [record for record in since(self, incarnation, revision, private) if record.key != "config"]
    stored = self.store.records.get("config")
    again = [Record("config", stored.stamp, stored.value)] if stored else []
    return found + again


async def sleep_without_polling(self):
    await asyncio.sleep(9.0)


async def apply_without_writing(self, update):
    self.apply(update)


async def write_without_rollouts(self, update, write=PersistentState.write):
    """Keep rollouts in memory only."""
    rows = {key: row for key, row in update.registers.items() if "rollout/" not in key}
    await write(self, replace(update, registers=rows))
    self.apply(update)


async def stop_polling_without_controllers(self, listen=UpdateSubscription.poll_once):
    """Stop polling if no controller responds at the start of a proxy."""
    await listen(self)
    if not self.subscriber.positions:
        await asyncio.sleep(99.0)


async def acknowledge_by_number(self, call, replace=Operations.replace_configuration):
    """Acknowledge a configuration by its number, whatever its content."""
    try:
        return await replace(self, call)
    except GatewayError:
        stamp = self.rollouts.store.stamp("config")
        if stamp is None or stamp[0] != int(json.loads(call.body)["ver"], 16):
            raise
        return {}


async def start_only_once(self, call, start=Operations.start_rollout):
    """Reject an order for a service that has a rollout already."""
    svc = json.loads(call.body)["svc"]
    if self.rollouts.store.get(f"rollout/{svc}"):
        raise VersionConflict("rollouts.start", "there is one", call.peer)
    return await start(self, call)


async def read_own_configuration(self, call):
    """Read the configuration from this controller's store instead of a majority."""
    stored = self.rollouts.store.get("config")
    return packing.unpack(stored) if stored else b'{"ver":"00000000"}'


async def read_own_rollout(self, call, read=Operations.read_rollout):
    """Read a rollout from this controller's store instead of a majority."""
    stored = self.rollouts.store.get(f"rollout/{call.subject}")
    return {"state": stored["state"], "to_ver": stored["to_ver"]} if stored else await read(self, call)


def start_without_previous_orders(stored, *order, start=transitions.start_rollout):
    """Forget the orders before the stored one."""
    return start(replace(stored, previous_orders=()) if stored else stored, *order)


async def raise_key_error(self, call):
    return {}["nothing"]


async def acknowledge_without_recording(self, call):
    """Acknowledge that a machine leaves, without recording it."""
    return {}


def decode_as_ready(id, body, peer, decode=heartbeat.decode_heartbeat):
    """Decode every heartbeat as that of a ready machine."""
    return decode(id, {**body, "state": "ready"}, peer)


def keep_three_routes(self, config, init=RouteTable.__init__):
    """Keep only the first three routes of each host of a configuration."""
    init(self, config)
    self.routes_by_host = {host: dict([*routes.items()][:3]) for host, routes in self.routes_by_host.items()}


def respond_unavailable(self, ask, best):
    return local_response(503, "no machine free", 0.1)


SMALL_BUDGET = {"requests_per_s": 120.0, "bounds": (("retry_slack", 2), ("retry_ratio", 0.02))}


@test("the rule {rule} is violated if its safeguard is removed")
def _(
    rule=each(
        Rule.AT_MOST_ONCE,
        Rule.NOT_EXECUTED,
        Rule.OWN_RESPONSE,
        Rule.DRAIN,
        Rule.ACTIVATION,
        Rule.MONOTONIC_VERSION,
        Rule.RETRY_BUDGET,
        Rule.EXPOSURE,
        Rule.DURABILITY,
        Rule.UNIQUE_VERSION,
        Rule.ACCEPTANCE,
        Rule.MONOTONIC_READS,
        Rule.MONOTONIC_READS,
        Rule.ACKNOWLEDGEMENT,
        Rule.NO_UNEXPECTED_ERROR,
        Rule.MONOTONIC_READS,
        Rule.DURABILITY,
        Rule.DURABILITY,
        Rule.MONOTONIC_READS,
        Rule.DRAIN,
        Rule.ACKNOWLEDGEMENT,
        Rule.READINESS,
        Rule.RETIREMENT,
        Rule.ROUTES,
        Rule.CANCELLATION,
    ),
    patch=each(
        lambda: patches_without_rejection("may have run"),
        lambda: [(FailureResponses, "no_endpoint", respond_unavailable)],
        lambda: [
            (attempt_sender, "classify_response", classify_any_response),
            (MachineConnection, "exchange", exchange_without_expected_header),
        ],
        lambda: patches_without_rejection("state"),
        lambda: [(poll_interval, "POLL_S", 3.0), (UpdateSubscription, "poll_once", sleep_without_polling)],
        lambda: [(Store, "put", put_last_wins), (ChangeFeed, "since", records_with_configuration_again)],
        lambda: [(RetryBudget, "allows", lambda self, now, fronts: True)],
        lambda: [(RolloutTrafficPolicy, "trial_permits", lambda self, now, ask: True)],
        lambda: [(PersistentState, "write", apply_without_writing)],
        lambda: [(Operations, "replace_configuration", acknowledge_by_number)],
        lambda: [(Operations, "start_rollout", start_only_once)],
        lambda: [(Operations, "read_configuration", read_own_configuration)],
        lambda: [(Operations, "read_rollout", read_own_rollout)],
        lambda: [(membership_rules, "majority", lambda configuration: len(configuration.members))],
        lambda: [(Operations, "start_rollout", raise_key_error)],
        lambda: [(transitions, "start_rollout", start_without_previous_orders)],
        lambda: [(PersistentState, "write", apply_without_writing)],
        lambda: [(PersistentState, "write", apply_without_writing)],
        lambda: [(PersistentState, "write", write_without_rollouts)],
        lambda: patches_without_rejection("state"),
        lambda: [(membership_rules, "majority", lambda configuration: len(configuration.members))],
        lambda: [
            (UpdateSubscription, "poll_once", stop_polling_without_controllers),
            (ControllerPoller, "poll_once", sleep_without_polling),
        ],
        lambda: [
            (Operations, "leave", acknowledge_without_recording),
            (heartbeat, "decode_heartbeat", decode_as_ready),
        ],
        lambda: [(RouteTable, "__init__", keep_three_routes)],
        lambda: [(AttemptSender, "abandon", lambda self, request: None)],
    ),
    faults=each(
        (fault(FaultKind.LOST_RESPONSES, variant=1.0),),
        (fault(FaultKind.LOST_RESPONSES, variant=1.0),),
        (fault(FaultKind.STRAY_RESPONSES, variant=1.0),),
        (
            fault(FaultKind.MACHINE_DRAIN, 1.0, target=0.1),
            fault(FaultKind.MACHINE_DRAIN, 1.5, target=0.9),
            fault(FaultKind.MACHINE_DRAIN, 2.0),
        ),
        (fault(FaultKind.CONFIGURATION_CHANGES, 4.4),),
        (
            fault(FaultKind.PARTITION, 1.5, 1.5, target=0.0, variant=1.0),
            fault(FaultKind.CONFIGURATION_CHANGES, 2.0),
        ),
        (fault(FaultKind.FAILING_RESPONSES, 0.5, 6.0, variant=1.0),),
        (fault(FaultKind.BAD_ROLLOUT, 1.0, variant=0.3),),
        (fault(FaultKind.KILL_ALL, 3.0),),
        (fault(FaultKind.CONFLICTING_CONFIGURATIONS, 1.0, variant=0.9),),
        (fault(FaultKind.DUPLICATE_ORDERS, 1.0, variant=0.9),),
        (
            fault(FaultKind.LINK_PARTITION, 1.0, 4.0, target=0.3, variant=0.5),
            fault(FaultKind.CONFIGURATION_CHANGES, 2.0),
        ),
        (fault(FaultKind.GOOD_ROLLOUT, 0.5, variant=0.9), fault(FaultKind.FREEZE, 4.0, 4.5, variant=0.1)),
        (fault(FaultKind.REMOVE_CONTROLLERS, 1.0), fault(FaultKind.CONFIGURATION_CHANGES, 1.5)),
        (fault(FaultKind.DUPLICATE_ORDERS, 1.0),),
        (fault(FaultKind.SUPERSEDED_ROLLOUT, 1.0, variant=0.9),),
        (fault(FaultKind.KILL_MANY, 3.0, variant=0.1),),
        (fault(FaultKind.WIPE_AFTER_ORDER, 1.0, target=0.87, variant=0.1),),  # a configuration
        (fault(FaultKind.WIPE_AFTER_ORDER, 1.0, target=0.32, variant=0.4),),  # a rollout
        (fault(FaultKind.WIPE_AFTER_ORDER, 1.0, target=0.57, variant=0.1),),  # a machine that leaves
        (fault(FaultKind.DISK_REFUSES, 1.0), fault(FaultKind.CONFIGURATION_CHANGES, 1.5)),
        (),
        (
            fault(FaultKind.MACHINE_DRAIN, 1.0, target=0.1),
            fault(FaultKind.MACHINE_DRAIN, 1.5, target=0.9),
            fault(FaultKind.MACHINE_DRAIN, 2.0),
        ),
        (fault(FaultKind.CONFIGURATION_CHANGES, 1.0),),
        (
            fault(FaultKind.SLOW_MACHINES, 2.0, 5.0, variant=0.9),
            fault(FaultKind.DISCONNECTING_CLIENTS, 3.0, 4.0, variant=1.0),
        ),
    ),
    shape=each(*[{}] * 6, SMALL_BUDGET, {"requests_per_s": 150.0}, *[{}] * 17),
):
    patches = [(target, name, target.__dict__[name], mutation) for target, name, mutation in patch()]
    for target, name, _, mutation in patches:
        setattr(target, name, mutation)
    try:
        violated = set()
        for seed in range(6):
            violated |= {violation.rule for violation in play(Day(seed, faults, **shape)).violations}
            if rule in violated:
                break
        assert rule in violated, violated
    finally:
        for target, name, original, _ in patches:
            setattr(target, name, original)
