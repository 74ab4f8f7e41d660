"""Which counts of proxies stay on the store though their proxy has ended. Pure."""

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.rollout.record import RolloutState


def still_counted(store, key, value):
    """Whether a record is one of counts that a rollout under way counts, or one that isn't heard of here yet.
    A record's `n` and `order` only rise, so what is counted no more never is again."""
    if not key.startswith(RecordKind.PROXY_COUNTS.prefix):
        return False
    known = value["known"].items()
    return any(_counts_for(store.get(RecordKind.ROLLOUT.key(svc)), n) for svc, (n, _) in known)


def _counts_for(record, n):
    if record is None or record["n"] < n:
        return True
    return record["state"] == RolloutState.ACTIVE and n >= record["order"]
