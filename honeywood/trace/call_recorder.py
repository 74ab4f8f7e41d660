"""What a front records: the calls between the decisions and their host, as records in a bounded queue.

It listens and changes nothing: all calls come on the module's thread and cost it some microseconds each. A
front that is faster than the disk loses records, never RPCs; rules/keeping.py says which.
"""
from collections import deque

from honeywood.trace.rules.keeping import Intake
from honeywood.trace.schema import (
    ABORTED, ANSWER, ANSWERED_OK, BEGAN, COMING, DROPPED, LEFT, LIST, LIST_FAILED, LOOK, MOST_TEXT, NEWS,
    PICK, PROBE, PUSHED_BACK, RESULT, SAID, TAKEN, TALLY, VOTE, WRONG)

MOST_DRAWN = 16                # servers that a pick names; of a fleet all of which was asked only the first


class Tape:
    """`host` of what the decisions hand over leads to names, as routing/ keeps them: a server's peer, an
    RPC's call, whose `serial` numbers it; 0 where the taking of it is not recorded, and then nothing of it
    is."""

    def __init__(self, places, unix_start, customer_fields, parcel_fields):
        self.queue, self.intake, self.unix_start = deque(), Intake(places), unix_start
        self.customer_fields, self.parcel_fields = customer_fields, parcel_fields
        self.easy = self.intake.from_asides
        # What was weighed for an RPC since its last pick.
        self.rpc, self.seen, self.asked = None, [], 0
        self.found = []

    def put(self, now, kind, values, recorded=True):
        held = len(self.queue)
        # What is taken in any case is not asked for: this is done five times an RPC.
        if (held < self.easy and recorded) or self.intake.takes(kind.number, held, recorded):
            self.queue.append((now - self.unix_start, 0, kind.number, values))
            return True
        return False

    def drop_note(self, now, why):
        """What was lost so far, as a record, () where nothing was."""
        records, rpcs = self.intake.dropped()
        return ((now - self.unix_start, 0, DROPPED.number, (records, rpcs, why)),) if records else ()

    # What the decisions tell of their reasons (interface.Tap).
    def weighed(self, rpc, server, bar):
        if rpc is not self.rpc:
            self.rpc, self.seen, self.asked = rpc, [], 0
        self.seen.append((server.host.name, bar))

    def asked_all(self, rpc, servers, bars):
        for server, bar in zip(servers[:MOST_DRAWN], bars):
            self.weighed(rpc, server, bar)
        self.asked += len(servers)

    def tested(self, now, found):
        self.found = found

    def weighings(self, rpc):
        """(servers, bars, how many were asked where all were) since the RPC's last pick."""
        if rpc is not self.rpc:
            return (), (), 0
        self.rpc = None
        drawn, bars = zip(*self.seen[:MOST_DRAWN])
        return drawn, bars, self.asked

    # What the decisions are told.
    def began(self, now):
        self.put(now, BEGAN, ())

    def taken(self, now, rpc):
        call = rpc.host
        request, address = call.request, call.client.connection.peer.rpartition(":")[0]
        values = (call.serial, call.name, rpc.method.name, self.named(request, self.customer_fields),
                  self.named(request, self.parcel_fields), address, now - call.arrived, rpc.deadline - now,
                  rpc.work, int(rpc.repeat))
        if not self.put(now, TAKEN, values):
            call.serial = 0

    @staticmethod
    def named(request, fields):
        for field in fields:
            if value := request.get(field):
                return value[:MOST_TEXT] if len(value) > MOST_TEXT else value
        return ""

    def ended(self, now, pick, result, load, over):
        serial = pick.rpc.host.serial
        values = (serial, pick.number, pick.server.host.name, pick.build, pick.rpc.method.name, result,
                  now - pick.sent, int(over), load)
        self.put(now, RESULT, values, serial)
        if over and not pick.rpc.done:
            self.answered(now, pick.rpc, ANSWERED_OK, 0)

    def begun(self, now, pick):
        serial = pick.rpc.host.serial
        self.put(now, COMING, (serial, pick.number, pick.server.host.name, pick.rpc.method.name), serial)

    def left(self, now, rpc):
        serial = rpc.host.serial
        self.put(now, LEFT, (serial, rpc.method.name), serial)

    def news(self, now, result, reply, build, step, cap, standing, age):
        self.put(now, NEWS, (build, step, cap, standing, age, result, int(reply)))

    def listed(self, now, revision, lines, whole):
        servers, builds, zones, cells, scales, statuses, starts = zip(*lines) if lines else [()] * 7
        starts = tuple(start - self.unix_start for start in starts)
        self.put(now, LIST, (revision, int(whole), tuple(server.host.name for server in servers), builds,
                             statuses, starts, zones, cells, scales))

    def list_failed(self, now):
        self.put(now, LIST_FAILED, ())

    def tallied(self, now, build, method, failed, ended, mean, age):
        self.put(now, TALLY, (build, method.name, failed, ended, mean, age))

    def found_wrong(self, now, server, method):
        self.put(now, WRONG, (server.host.name, method.name))

    def probed(self, now, server, result, latency, load):
        self.put(now, PROBE, (server.host.name, result, latency, load))

    def looked(self, now):
        self.put(now, LOOK, ())

    # What they did.
    def sent(self, pick, until):
        serial = pick.rpc.host.serial
        values = (serial, pick.number, pick.server.host.name, pick.build, pick.rpc.method.name,
                  until - pick.sent, *self.weighings(pick.rpc))
        self.put(pick.sent, PICK, values, serial)

    def answered(self, now, rpc, outcome, wait):
        serial = rpc.host.serial
        drawn, bars, _ = self.weighings(rpc)
        why = 0 if outcome == ANSWERED_OK else rpc.why or 0
        values = (serial, rpc.method.name, outcome, why, wait, now - rpc.taken, drawn, bars)
        self.put(now, ANSWER, values, serial)

    def pushed_back(self, now, rpc, wait):
        self.answered(now, rpc, PUSHED_BACK, wait)

    def aborted(self, now, rpc):
        self.answered(now, rpc, ABORTED, 0)

    def voted(self, now, build, step, verdict):
        ps, tests, seen, of, expected = zip(*self.found) if self.found else [()] * 5
        self.put(now, VOTE, (build, step, verdict, tests, *(tuple(map(float, each)) for each in
                                                            (ps, seen, of, expected))))

    def said(self, now, text):
        self.put(now, SAID, (text[:MOST_TEXT],))
