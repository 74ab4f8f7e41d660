"""The scenarios of the register's model: versions of a configuration, and outcomes of a rollout."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from honeywood.gateway.rollout.record import Rollout, RolloutState
from honeywood.gateway.rollout.transitions import advance, start_rollout
from honeywood.lab.model.register_model import ModelOptions, RegisterModel, Scenario

if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue

DEFAULT_OPTIONS = ModelOptions()
ROLLOUT_S = 14.0


def versions_model(
    writers: int = 2,
    options: ModelOptions = DEFAULT_OPTIONS,
    *,
    proposing_reader: bool = False,
    highest_first: bool = False,
) -> RegisterModel:
    """Return a model whose writers write versions 1, 2 and so on; the register keeps the highest.

    With `proposing_reader`, one more proposer reads by a ballot. With `highest_first`, the higher ballot
    proposes the lower version.
    """
    updates = [_raise_to(version) for version in range(1, writers + 1)]
    if proposing_reader:
        updates.append(_keep)
    if highest_first:
        updates.reverse()
    return RegisterModel(Scenario(tuple(updates), _misses_version), options)


def acknowledged_version_model(options: ModelOptions, holders: tuple[int, ...]) -> RegisterModel:
    """Return a model without writers, in which version 1 is acknowledged and stored by `holders`."""
    scenario = Scenario((), _misses_version, initial_value=1, initial_disks=holders)
    return RegisterModel(scenario, options)


def outcomes_model(options: ModelOptions = DEFAULT_OPTIONS) -> RegisterModel:
    """Return a model in which two controllers end the same rollout with different outcomes."""
    rollout = start_rollout(None, "s", "v2", ROLLOUT_S, 0.0)
    assert rollout is not None
    updates = (_end(rollout, RolloutState.DONE), _end(rollout, RolloutState.REVERTED))
    return RegisterModel(Scenario(updates, _differs, _conflict, rollout), options)


def _raise_to(version: int) -> Callable[[JsonValue], JsonValue]:
    return lambda stored: max(stored or 0, version)


def _keep(stored: JsonValue) -> JsonValue:
    return stored


def _misses_version(stored: JsonValue, acknowledged: JsonValue) -> bool:
    return stored is None or bool(stored < acknowledged)


def _end(rollout: Rollout, state: RolloutState) -> Callable[[JsonValue], JsonValue]:
    return lambda stored: advance(stored, rollout.version, rollout.revision, state=state)


def _differs(stored: JsonValue, acknowledged: JsonValue) -> bool:
    return bool(stored != acknowledged)


def _conflict(acknowledged: JsonValue) -> bool:
    return len(set(acknowledged)) > 1
