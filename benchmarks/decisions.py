"""RPCs a second that the decisions bear by themselves, without I/O: with nobody at the tap, and with a tape.

    python benchmarks/decisions.py [--rpcs 60000]

Run it in two clones in turn to compare texts; `sends` is a sum over all sends, the same where the decisions
are.
"""

import time
from heapq import heappop, heappush
from types import SimpleNamespace

import click

from honeywood.balancer.decisions import balancer as decide
from honeywood.balancer import interface as face
from honeywood.trace.tape import Tape

KINDS = face.IDEMPOTENT, face.TOKENED, face.NON_IDEMPOTENT
SERVERS, EVERY = 30, 20  # servers; tenths of a ms between RPCs


class Host:
    """Answers each pick after 20 to 30 ms; counts what is asked of it."""

    def __init__(self, tape):
        self.tap = self.tape = tape
        self.queue, self.order, self.sends, self.now = [], 0, 0, 0

    def send(self, pick, until):
        self.order += 1
        self.sends = (self.sends * 31 + pick.server.host.number * 7 + pick.rpc.host.serial) % (1 << 61)
        if self.tape:
            self.tape.sent(pick, until)
        heappush(self.queue, (self.now + 200 + pick.rpc.host.serial % 97, self.order, pick))

    def ignored(self, *_):
        pass

    push_back = abort = cancel = probe = wake = vote = watch = log = ignored


def settings():
    methods = [
        face.Method(
            kind=kind,
            soft=2500,
            soft_stretch=0,
            deadline=10000,
            utility=1,
            late_utility=0,
            group="all",
            window=80000,
            place=place,
            name=kind,
        )
        for place, kind in enumerate(KINDS)
    ]
    return face.Settings(
        seed=7,
        tick=10,
        zone=0,
        fronts=3,
        me=0,
        methods=methods,
        max_picks=4,
        may_duplicate=True,
        may_cancel=True,
        may_probe=False,
        max_wait=10000,
        must_ask=False,
        ask_within=100000,
        cold_share=0.4,
        cold_time=40000,
        tip_multiple=2.5,
        tip_time=20000,
        report_fields=("active",),
        cross_price=0.0,
        caps=[0.1, 0.5, 1.0],
        waves=[0.1, 0.4, 1.0],
        free_picks=2,
        exposure_window=30000,
        per_method=True,
        guarded_steps=0,
        one_way=False,
        vote_rule="any",
        back_votes=1,
        go_votes=1,
        vote_life=60000,
        vote_wait=12000,
        tally_period=0,
    )


def run(rpcs, tape):
    host = Host(tape)
    front = decide.Front(settings(), host)
    front.start(0)
    servers = [face.Server(host=SimpleNamespace(number=n, name=f"s{n}")) for n in range(SERVERS)]
    front.listed(
        0,
        [(server, 1 + (n >= 20), 0, 0, 1.0, face.READY, face.LONG_AGO) for n, server in enumerate(servers)],
        True,
    )
    front.news(0, face.OK, False, 2, 1, 0.5, face.ON_TRIAL, 0)
    began, looked = time.process_time(), 0
    for number in range(rpcs):
        host.now = now = number * EVERY
        while host.queue and host.queue[0][0] <= now:
            at, _, pick = heappop(host.queue)
            if tape:
                tape.ended(at, pick, face.OK, (1.0,), True)
            front.back(at, pick, face.OK, at - pick.sent, (1.0,), True)
        if now - looked >= 1000:
            looked = now
            front.woken(now)
        if tape and len(tape.queue) > 8000:
            tape.queue.clear()
        call = SimpleNamespace(serial=number + 1)
        front.take(
            now,
            face.Rpc(
                method=front.judge.methods[number % 3],
                customer=0,
                key=number,
                deadline=now + 10000,
                work=0,
                repeat=False,
                taken=now,
                picks=[],
                done=False,
                host=call,
            ),
        )
    return rpcs / (time.process_time() - began), host.sends


@click.command()
@click.option("--rpcs", default=60_000, show_default=True)
@click.option("--runs", default=3, show_default=True)
def main(rpcs, runs):
    click.echo("| run | RPCs/s, tap off | with a tape | sends |\n| --- | --- | --- | --- |")
    for number in range(runs):
        off, sends = run(rpcs, None)
        on, same = run(rpcs, Tape(20_000, 0, (), ()))
        assert sends == same, "the tap changed the decisions"
        click.echo(f"| {number + 1} | {off:.0f} | {on:.0f} | {sends} |")


if __name__ == "__main__":
    main()
