"""Hosts one set of decisions per instance of the bench's wire. Ids become objects here, and objects ids."""

import json
import sys
import traceback

from honeywood.balancer.decisions import balancer as decide
from honeywood.balancer.benchlink import codec
from honeywood.balancer.interface import LONG_AGO, Pick, Rpc, Server, mark
from honeywood.balancer.settings import settings


class Instance:
    """One front's door: its ids, and the calls its decisions make (interface.Host)."""

    tap = None

    def __init__(self, who, seed, text):
        self.who, self.reply = who, None
        self.rpcs, self.servers = {}, {}  # by id; each keeps its id in `host`
        self.settings = settings(json.loads(text), seed)
        self.front = decide.Front(self.settings, self)

    def send(self, pick, until):
        # Times round down on the way in; a stop must not land before it was meant to.
        self.reply.add(self.who, codec.DELIVER, pick.rpc.host, pick.server.host, until * 100)

    def push_back(self, rpc, wait):
        self.reply.add(self.who, codec.SHED, rpc.host, wait * 100)
        self.forget(rpc.host)

    def abort(self, rpc):
        self.reply.add(self.who, codec.LOSE, rpc.host)
        self.forget(rpc.host)

    def cancel(self, pick):
        self.reply.add(self.who, codec.RETRACT, pick.rpc.host, pick.number)

    def probe(self, server):
        self.reply.add(self.who, codec.SOUND_OUT, server.host)

    def wake(self, after):
        self.reply.add(self.who, codec.WAKE, after * 100, 0)

    def vote(self, build, step, verdict):
        self.reply.add(self.who, codec.VOTE, build, step, verdict)

    def watch(self):
        self.reply.add(self.who, codec.TRACK, 1)

    def log(self, text):
        self.reply.add(self.who, codec.RECORD, text=text)

    def server(self, machine):
        if machine not in self.servers:
            self.servers[machine] = Server(host=machine, mark=mark(machine))
        return self.servers[machine]

    def view(self, now, lines, how):
        if how == 3:
            return self.front.list_failed(now)
        self.front.listed(
            now,
            [
                (
                    self.server(machine),
                    round(build),
                    zone,
                    cell,
                    scale,
                    status,
                    codec.units(booted) if booted else LONG_AGO,
                )
                for booted, _, build, machine, cell, zone, status, scale in lines
            ],
            how != 0,
        )

    def knock(self, now, corr, place, customer, key, expires, hint, flags):
        method = self.settings.methods[place]
        rpc = self.rpcs[corr] = Rpc(
            method=method,
            customer=customer,
            key=key,
            deadline=codec.units(expires),
            work=codec.units(hint) if flags & 1 else 0,
            repeat=bool(flags & 2),
            taken=now,
            picks=[],
            done=False,
            host=corr,
        )
        self.front.take(now, rpc)

    def forget(self, corr):
        """An RPC is needed until its RPC has ended and its last pick is back."""
        rpc = self.rpcs.get(corr)
        if rpc and rpc.done and all(p.result is not None for p in rpc.picks):
            del self.rpcs[corr]

    def outcome(self, now, corr, result, settled, machine, latency, leg, load):
        rpc = self.rpcs.get(corr)
        if rpc is None or leg >= len(rpc.picks) or rpc.picks[leg].result is not None:
            return
        pick: Pick = rpc.picks[leg]
        self.front.back(now, pick, result, codec.units(latency), load, bool(settled))
        self.forget(corr)

    def event(self, now, code, record):
        got, front = codec.fields(code, record), self.front
        if code == codec.KNOCK:
            self.knock(now, *got)
        elif code == codec.OUTCOME:
            self.outcome(now, *got[:6], got[7 : 7 + got[6]])
        elif code == codec.ELAPSED:
            front.woken(now)
        elif code == codec.HEALTH and got[0] in self.servers:
            front.probed(now, self.servers[got[0]], got[1], codec.units(got[2]), got[4 : 4 + got[3]])
        elif code == codec.STEP_NEWS:
            step, result, cap, build, standing, reply, age = got
            front.news(now, result, bool(reply), build, step, cap, standing, codec.units(age))
        elif code == codec.CLIENT_LEFT and got[0] in self.rpcs:
            front.left(now, self.rpcs[got[0]])
            self.forget(got[0])
        elif code == codec.ESTABLISHED and got[0] in self.rpcs:
            front.started(now, self.rpcs[got[0]].picks[got[2]])
        elif code == codec.SCORECARD and got[0] < len(self.settings.methods):
            place, failed, age, ended, build, mean = got
            front.tallied(
                now, build, self.settings.methods[place], failed, ended, codec.units(mean), codec.units(age)
            )
        elif code == codec.WRONG and got[0] in self.servers:
            front.found_wrong(now, self.servers[got[0]], self.settings.methods[got[1]])


class Process:
    """All instances of this process; lists of servers are shared by them as the wire shares them."""

    def __init__(self):
        self.instances, self.rosters = {}, {}

    def answer(self, clock, records, tail):
        reply, now, here, who = codec.Reply(), codec.units(clock), None, None
        for record in records:
            code = int.from_bytes(record[:2], "big")
            if code == codec.CONTEXT:
                (who,) = codec.fields(code, record)
                here = self.instances.get(who)
            elif code == codec.ROSTER:
                number, start, count = codec.fields(code, record)
                self.rosters[number] = codec.entries(tail, start, count)
            elif code == codec.EXIT:
                here = None
                self.instances.pop(who, None)
            elif code in codec.EVENTS:
                try:
                    if code == codec.HELLO:
                        seed, start, length = codec.fields(code, record)
                        here = self.instances[who] = Instance(who, seed, codec.cut(tail, start, length))
                    if here is None:
                        continue
                    here.reply = reply
                    if code == codec.HELLO:
                        here.front.start(now)
                    elif code == codec.VIEW:
                        number, _, how = codec.fields(code, record)
                        here.view(now, self.rosters.get(number, []), how)
                    else:
                        here.event(now, code, record)
                except codec.BadFrame:
                    raise
                except Exception:
                    fault = codec.Reply()
                    fault.add(who, codec.BAIL_OUT, text=traceback.format_exc())
                    return fault
        return reply


def main():
    process, source, sink = Process(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := codec.read_frame(source)) is not None:
            sink.write(process.answer(*frame).frame())
            sink.flush()
    except codec.BadFrame as bad:
        print(f"benchlink: {bad}", file=sys.stderr)
        return 1
    return 0
