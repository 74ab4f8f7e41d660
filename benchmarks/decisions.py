"""Measures the throughput of the balancer's decisions in RPCs per second, with and without a recorder.

    python benchmarks/decisions.py [--rpcs 60000]

There is no I/O. To compare two versions, run it in two clones in turn. `sends` is a checksum of all sends: it
is the same if all decisions are the same.
"""

import time
from heapq import heappop, heappush
from types import SimpleNamespace

import click

from honeywood.balancer.decisions.balancer import Balancer
from honeywood.balancer.model import (
    UNKNOWN_START,
    AttemptResult,
    Idempotency,
    Method,
    ReleaseState,
    ReleaseUpdate,
    Rpc,
    Server,
    ServerEntry,
    ServerStatus,
)
from honeywood.balancer.settings import Settings
from honeywood.trace.call_recorder import CallRecorder

IDEMPOTENCIES = tuple(Idempotency)
SERVERS, RPC_INTERVAL = 30, 20  # number of servers; tenths of a ms between RPCs


class Host:
    """Answers each attempt after 20 to 30 ms and keeps a checksum of the sends."""

    def __init__(self, recorder):
        self.observer = self.recorder = recorder
        self.queue, self.order, self.sends, self.now = [], 0, 0, 0

    def send(self, attempt, until):
        self.order += 1
        self.sends = (self.sends * 31 + attempt.server.host.number * 7 + attempt.rpc.host.serial) % (1 << 61)
        if self.recorder:
            self.recorder.on_send(attempt, until)
        heappush(self.queue, (self.now + 200 + attempt.rpc.host.serial % 97, self.order, attempt))

    def ignored(self, *_):
        pass

    reject = abort = cancel = probe = wake_after = vote = watch_servers = log = ignored


def settings():
    """Return settings with one method for each idempotency."""
    methods = [
        Method(
            idempotency=kind,
            latency_target=2500,
            target_per_work=0,
            timeout=10000,
            utility=1,
            overdue_utility=0,
            dedup_scope="all",
            dedup_window=80000,
            index=index,
            name=kind,
        )
        for index, kind in enumerate(IDEMPOTENCIES)
    ]
    return Settings(
        seed=7,
        clock_resolution=10,
        zone=0,
        balancers=3,
        balancer_index=0,
        methods=methods,
        max_attempts=4,
        may_duplicate=True,
        may_cancel=True,
        may_probe=False,
        max_retry_after=10000,
        list_on_request=False,
        list_request_window=100000,
        initial_capacity_share=0.4,
        warm_up_time=40000,
        overload_multiple=2.5,
        overload_window=20000,
        load_report_fields=("active",),
        cross_zone_price=0.0,
        caps=[0.1, 0.5, 1.0],
        waves=[0.1, 0.4, 1.0],
        exposure_allowance=2,
        exposure_window=30000,
        exposure_per_method=True,
        idempotent_only_steps=0,
        no_downgrade=False,
        vote_rule="any",
        rollback_votes=1,
        proceed_votes=1,
        vote_ttl=60000,
        vote_timeout=12000,
        platform_counts_period=0,
    )


def run(rpcs, recorder):
    """Decide for a number of RPCs; return RPCs per second of processor time and the checksum of sends."""
    host, balancer_settings = Host(recorder), settings()
    balancer = Balancer(balancer_settings, host)
    balancer.on_start(0)
    servers = [Server(host=SimpleNamespace(number=n, name=f"s{n}")) for n in range(SERVERS)]
    entries = [
        ServerEntry(server, 1 + (n >= 20), 0, 0, 1.0, ServerStatus.READY, UNKNOWN_START)
        for n, server in enumerate(servers)
    ]
    balancer.on_server_list(0, entries, True)
    balancer.on_release_update(0, ReleaseUpdate(2, 1, 0.5, ReleaseState.ON_TRIAL, 0))
    began, last_timer_at = time.process_time(), 0
    for number in range(rpcs):
        host.now = now = number * RPC_INTERVAL
        while host.queue and host.queue[0][0] <= now:
            at, _, attempt = heappop(host.queue)
            if recorder:
                recorder.on_result(at, attempt, AttemptResult.OK, (1.0,), True)
            balancer.on_result(at, attempt, AttemptResult.OK, at - attempt.sent_at, (1.0,), True)
        if now - last_timer_at >= 1000:
            last_timer_at = now
            balancer.on_timer(now)
        if recorder and len(recorder.queue) > 8000:
            recorder.queue.clear()
        call = SimpleNamespace(serial=number + 1)
        balancer.on_request(
            now,
            Rpc(
                method=balancer_settings.methods[number % 3],
                key=number,
                deadline=now + 10000,
                arrived_at=now,
                host=call,
            ),
        )
    return rpcs / (time.process_time() - began), host.sends


@click.command()
@click.option("--rpcs", default=60_000, show_default=True)
@click.option("--runs", default=3, show_default=True)
def main(rpcs, runs):
    """Print a table of runs."""
    click.echo("| run | RPCs/s, no recorder | with a recorder | sends |\n| --- | --- | --- | --- |")
    for number in range(runs):
        off, sends = run(rpcs, None)
        on, same = run(rpcs, CallRecorder(20_000, 0, (), ()))
        assert sends == same, "the recorder changed the decisions"
        click.echo(f"| {number + 1} | {off:.0f} | {on:.0f} | {sends} |")


if __name__ == "__main__":
    main()
