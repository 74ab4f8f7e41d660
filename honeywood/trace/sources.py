"""The sources of a file's records: one in a file that a balancer wrote, several in a merged file."""

from honeywood.trace.schema import UnreadableTrace

# Header fields that describe one run of a balancer; they are copied together with its records.
RUN_FIELDS = (
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


def sources(metadata):
    """Return the maps of a header's sources; a record's source is an index into them."""
    listed = metadata.get("sources")
    if listed is None:
        return [{name: metadata[name] for name in RUN_FIELDS if name in metadata}]
    if not isinstance(listed, list) or not all(isinstance(source, dict) for source in listed):
        raise UnreadableTrace("a header whose sources can't be read")
    return listed


def name(source):
    """Return the display name of a source's run: its balancer and the start of the run's id."""
    return f"{source.get('front', '?')} ({str(source.get('run', '?'))[:8]})"
