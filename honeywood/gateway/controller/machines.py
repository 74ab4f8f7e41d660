"""What machines tell of themselves, as records. Pure."""

from honeywood.gateway.configuration.addresses import parse_address
from honeywood.gateway.configuration.check import need
from honeywood.gateway.dissemination import tombstones
from honeywood.gateway.dissemination.keys import RecordKind, name_of
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.retired_machines import RetiredMachines
from honeywood.gateway.errors import InvalidInput
from honeywood.gateway.register.state_update import HeartbeatRecord
from honeywood.gateway.routing.endpoints import DRAINING, GONE, LOST, READY

STEP = "instances.heartbeat"
LAST = 1 << 53  # a stamp above all beats': a life that has left doesn't come back
MANY = 1 << 20  # slots that a machine may have at the most
DEPARTED_ROW = "\0"  # begins the names of rows on disk that hold names that left; no id has one
LONGEST = 256  # bytes of an id: a row's key on disk holds 511
MISSED = 3.4  # beats' times after which a silent machine is taken for lost


def named(step, id, peer):
    """Raises errors.InvalidInput where a call names no machine."""
    if not id:
        raise InvalidInput(step, "of is missing", peer)
    if DEPARTED_ROW in id or len(id.encode()) > LONGEST:
        raise InvalidInput(step, "of is no id: it holds a NUL or is too long", peer)


def beat(id, body, peer):
    """(stamp, value) out of a heartbeat's body; raises errors.InvalidInput naming the key."""
    named(STEP, id, peer)
    state = need(body, "state", str, STEP, peer=peer)
    if state not in (READY, DRAINING):
        raise InvalidInput(STEP, f"state {state!r} is not known", peer)
    ip, port = parse_address(need(body, "addr", str, STEP, peer=peer), f"{STEP}: addr", peer)
    return Stamp.of(need(body, "seq", int, STEP, least=0, most=LAST - 1, peer=peer), 0), {
        "svc": need(body, "svc", str, STEP, peer=peer),
        "ip": ip,
        "port": port,
        "zone": need(body, "zone", str, STEP, "", peer=peer),
        "ver": need(body, "ver", str, STEP, "", peer=peer),
        "slots": need(body, "slots", int, STEP, 1, least=1, most=MANY, peer=peer),
        "state": state,
        "cold": max(0.0, need(body, "cold_left_s", float, STEP, 0.0, peer=peer)),
    }


class Machines:
    """Machines at one controller: records only of what has changed; the rest are signs of life."""

    def __init__(self, store, beat_s):
        """`beat_s` are the seconds between two heartbeats of a machine."""
        self.store, self.silence, self.heard = store, MISSED * beat_s, {}
        self.retired = RetiredMachines(store)
        self.changed = lambda id, record: None  # told of each record on the store that changes

    def beat(self, now, id, stamp, value):
        """Takes a heartbeat; whether it tells that the machine leaves service."""
        held = self.store.get(RecordKind.MACHINE.key(id))
        if held is not None and held["state"] == GONE:
            return value["state"] == DRAINING  # a beat that comes after its machine has left
        self.alive(now, id, stamp)
        self.store.put(RecordKind.HEARTBEAT.key(id), stamp, None)
        if held is None or any(held.get(key) != value[key] for key in value if key != "cold"):
            self.store.put(RecordKind.MACHINE.key(id), stamp, value)
        return value["state"] == DRAINING

    def hear(self, now, id, value):
        """A record of a machine has come to the store, from here or from others."""
        self.retired.observe(now, id, value["state"])
        if value["state"] in (GONE, LOST):
            self.heard.pop(id, None)
        if value["state"] == GONE:
            self.store.drop(RecordKind.HEARTBEAT.key(id))
        self.changed(id, HeartbeatRecord(self.store.stamp(RecordKind.MACHINE.key(id)).encode(), value))

    def hear_departed(self, key, bucket):
        """A bucket of names that left has come to the store: machines that were taken meanwhile, by late
        copies of their beats, leave once more, so that whoever has heard of them hears that too."""
        self.changed(DEPARTED_ROW + key, HeartbeatRecord(self.store.stamp(key).encode(), bucket))
        names = tombstones.decode(bucket)
        for known, value in self.store.items_of(RecordKind.MACHINE):
            id = name_of(known)
            if value["state"] != GONE and tombstones.machine_hash(id) in names:
                self.leave(id)

    def recall(self, records):
        """Takes what an earlier life kept, HeartbeatRecords by id: any newer record wins, and who doesn't
        beat is lost as ever."""
        for id, (stamp, bucket) in records.items():
            if id.startswith(DEPARTED_ROW):
                self.store.put(id[len(DEPARTED_ROW) :], Stamp(stamp), bucket)
        for id, (stamp, value) in records.items():
            if not id.startswith(DEPARTED_ROW):
                self.store.put(RecordKind.MACHINE.key(id), Stamp(stamp), {**value, "cold": 0.0})

    def alive(self, now, id, stamp):
        """A sign of life of a machine, here or at another controller."""
        self.heard[id] = now, stamp

    def leave(self, id):
        """Also of one that is not known here: others may know it."""
        self.store.put(RecordKind.MACHINE.key(id), Stamp.of(LAST, 0), {"state": GONE})

    def look(self, now):
        """Takes for lost whoever has been silent for long; its next beat brings it back. Forgets lives that
        were over long ago."""
        for id in self.retired.evict(now):
            self.changed(id, None)
        known = {name_of(key): value for key, value in self.store.items_of(RecordKind.MACHINE)}
        for id in self.heard.keys() - known:
            del self.heard[id]
        for key, _ in self.store.items_of(RecordKind.HEARTBEAT):
            if name_of(key) not in known:
                self.store.drop(key)
        for id, value in known.items():
            if value["state"] not in (READY, DRAINING):
                continue
            at, _ = self.heard.setdefault(id, (now, None))
            if now - at > self.silence:
                last = self.store.stamp(RecordKind.HEARTBEAT.key(id))
                held = self.store.stamp(RecordKind.MACHINE.key(id))
                stamp = Stamp.of(max(held[0], last[0] if last else 0), 1)
                self.store.put(RecordKind.MACHINE.key(id), stamp, {**value, "state": LOST})
