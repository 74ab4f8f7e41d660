"""Lives of machines that are over: told of for a while, then forgotten. Pure.

Who left said so and its id is never given again: once its records are dropped, none that comes late is taken
(departed.py). Who fell silent may come back; after a while its records are dropped too, and its next
heartbeat makes it known anew.
"""

from honeywood.gateway.routing.endpoint_state import GONE, LOST

KEEP = 120.0  # seconds for which a life that is over is told of: above any late heartbeat's, and CUT by far
CUT = 60.0  # seconds without a controller that hears a majority after which a front doubts what it knows
MOST = 2000  # lives that are over and told of; beyond them the oldest are dropped sooner


def over(value):
    """Whether a record says that a machine's life is over, or seems to be."""
    return isinstance(value, dict) and value.get("state") in (GONE, LOST)


class History:
    """The lives on a store that are over, the one that ended first in front."""

    def __init__(self, store):
        """No life on `store` is over."""
        self.store, self.over = store, {}

    def hear(self, now, id, state):
        """A record on the store says that a machine is in `state`."""
        self.over.pop(id, None)
        if state in (GONE, LOST):
            self.over[id] = now, state

    def look(self, now):
        """Drops what is old or too many; the ids that were dropped."""
        dropped = []
        while self.over:
            id, (at, state) = next(iter(self.over.items()))
            if now - at < KEEP and len(self.over) <= MOST:
                break
            del self.over[id]
            self.store.forget(id, for_good=state == GONE)
            dropped.append(id)
        return dropped
