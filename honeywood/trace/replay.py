"""Replays traces of one front's run into the decisions of today."""

import json

from honeywood.balancer.sections import InvalidConfiguration
from honeywood.balancer.settings_codec import read_settings
from honeywood.trace.rules.replaying import Player
from honeywood.trace.schema import Unreadable
from honeywood.trace.sources import name


def player(about):
    """rules.replaying.Player for a source's header map; raises Unreadable where it says too little."""
    if about.get("sample") or not about.get("settings"):
        raise Unreadable(f"{name(about)}: holds no settings of a front: it can't be replayed")
    try:
        given = read_settings(json.loads(about["settings"]), int(about["front_seed"]), "settings")
    except (InvalidConfiguration, ValueError, KeyError, TypeError) as wrong:
        raise Unreadable(f"{name(about)}: its settings can't be read: {wrong}") from None
    return Player(given, int(about["unix_start"]))


def replay(run, progress):
    """What came of a merging.Run, as Player.plain() has it."""
    playing = player(run.about)
    for record in run.records():
        playing.play(record)
        progress(1)
    return playing.end()
