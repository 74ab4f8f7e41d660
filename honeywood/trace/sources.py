"""Whose records a file holds: a file that a front wrote has one source, a merged one several."""

from honeywood.trace.schema import Unreadable

# What a header says of one front's run, and is handed on when its records are.
OF_A_RUN = (
    "front",
    "run",
    "sequence",
    "unix_start",
    "settings",
    "front_seed",
    "sample",
    "shift",
    "cut",
    "export",
)


def sources(about):
    """The maps of a header's sources, in the order in which records number them."""
    listed = about.get("sources")
    if listed is None:
        return [{name: about[name] for name in OF_A_RUN if name in about}]
    if not isinstance(listed, list) or not all(isinstance(one, dict) for one in listed):
        raise Unreadable("a header whose sources can't be read")
    return listed


def name(source):
    return f"{source.get('front', '?')} ({str(source.get('run', '?'))[:8]})"
