"""Records that a program publishes about itself."""

from ward import test

from honeywood.gateway.dissemination.local_records import LocalRecords
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.store import Store


@test("a program publishes with higher stamps than its previous incarnation, whichever record comes late")
def _():
    programs = {}
    store = Store("l", lambda key, value: programs["own"].on_update(key))
    own = programs["own"] = LocalRecords(store, 5, lambda key: key.startswith("own/"))
    own.publish("own/a", 1)
    store.put("own/a", Stamp.of(9, 4), 0)
    assert store.stamp("own/a") > (9, 4) and store.get("own/a") == 1
    store.put("own/b", Stamp.of(9, 3), 0)
    assert (
        store.get("own/b") is None and "own/b" in store.records
    ), "a record that this incarnation doesn't publish is withdrawn"
    before = dict(store.records)
    store.put("own/a", Stamp.of(9, 99), 0)
    assert store.records == before, "late copies change nothing"
