"""Which counts of proxies stay on the store though their proxy has ended. Pure."""

from honeywood.gateway.rollout.record import RolloutState

COUNT, ROLLOUT = "count/", "rollout/"  # keys of proxies' counts and of rollouts' records


def still_counted(store, key, value):
    """Whether a record is one of counts that a rollout under way counts, or one that isn't heard of here yet.
    A record's `n` and `order` only rise, so what is counted no more never is again."""
    if not key.startswith(COUNT):
        return False
    return any(_counts_for(store.get(ROLLOUT + svc), n) for svc, (n, _) in value["known"].items())


def _counts_for(record, n):
    if record is None or record["n"] < n:
        return True
    return record["state"] == RolloutState.ACTIVE and n >= record["order"]
