"""Replays the recorded inputs of one balancer's run through the current decision code."""

import json

from honeywood.balancer.sections import InvalidConfiguration
from honeywood.balancer.settings_codec import read_settings
from honeywood.trace.rules.replaying import Replayer
from honeywood.trace.schema import UnreadableTrace
from honeywood.trace.sources import name


def create_replayer(metadata):
    """Return the rules.replaying.Replayer for a source's map in the header.

    Raises UnreadableTrace where the map lacks the balancer's settings.
    """
    if metadata.get("sample") or not metadata.get("settings"):
        raise UnreadableTrace(f"{name(metadata)}: without the settings of a balancer: it can't be replayed")
    try:
        balancer_settings = read_settings(
            json.loads(metadata["settings"]), int(metadata["front_seed"]), "settings"
        )
    except (InvalidConfiguration, ValueError, KeyError, TypeError) as error:
        raise UnreadableTrace(f"{name(metadata)}: its settings can't be read: {error}") from None
    return Replayer(balancer_settings, int(metadata["unix_start"]))


def replay(run, progress):
    """Replay a merging.Run; return the result of Replayer.plain()."""
    replayer = create_replayer(run.metadata)
    for record in run.records():
        replayer.play(record)
        progress(1)
    return replayer.finish()
