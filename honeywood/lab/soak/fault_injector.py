"""Injects the faults of a soak test."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Collection, Sequence

from honeywood.lab.soak.clients import SoakClients
from honeywood.lab.soak.cluster import Cluster
from honeywood.lab.soak.faults import Fault, FaultKind
from honeywood.lab.soak.machine import SoakMachine
from honeywood.lab.soak.machine_fault_injector import MachineFaultInjector
from honeywood.lab.soak.operator_client import OperatorClient
from honeywood.lab.soak.record import Record

DISCONNECTING_SHARE = 0.4
"""Of the clients."""
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP, signal.SIGCONT)
MAX_SIGNALS = 6
MAX_SIGNAL_INTERVAL_S = 0.6


class FaultInjector:
    """Injects faults into the cluster, the machines and the clients."""

    def __init__(
        self,
        record: Record,
        cluster: Cluster,
        machines: Sequence[SoakMachine],
        clients: SoakClients,
        operator: OperatorClient,
        clock: Callable[[], float],
    ) -> None:
        """Record in `record` which processes each fault affects, and when."""
        self._record = record
        self._cluster = cluster
        self._machines = machines
        self._clients = clients
        self._operator = operator
        self._clock = clock
        self._handlers: dict[FaultKind, Callable[[Fault], Awaitable[Collection[str]]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.STOP: self._stop,
            FaultKind.PAUSE: self._pause,
            FaultKind.PARTITION: self._partition,
            FaultKind.MACHINE_PARTITION: self._partition_from_machines,
            FaultKind.DISCONNECTING_CLIENTS: self._disconnect_clients,
            FaultKind.CONFIGURATION_CHANGE: self._change_configuration,
            FaultKind.SIGNAL_SERIES: self._send_signals,
            FaultKind.KILL_WHILE_STOPPING: self._kill_while_stopping,
            **MachineFaultInjector(machines).handlers,
        }

    async def inject(self, fault: Fault) -> None:
        """Wait until the fault's start, inject it, and end it after its duration."""
        await asyncio.sleep(fault.at_s)
        began_at = self._clock()
        for ip in await self._handlers[fault.kind](fault):
            self._record.disturbances[ip].append((began_at, self._clock()))

    # Each handler returns the addresses or ids of the processes or machines that the fault affected.

    async def _kill(self, fault: Fault) -> Collection[str]:
        ip = self._target_node(fault)
        await self._cluster.kill(ip)
        await asyncio.sleep(fault.duration_s)
        await self._cluster.start(ip)
        return [ip]

    async def _stop(self, fault: Fault) -> Collection[str]:
        ip = self._target_node(fault)
        await self._cluster.stop(ip)
        await self._cluster.start(ip)
        return [ip]

    async def _pause(self, fault: Fault) -> Collection[str]:
        ip = self._target_node(fault)
        self._cluster.send_signal(ip, signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        self._cluster.send_signal(ip, signal.SIGCONT)
        return [ip]

    async def _send_signals(self, fault: Fault) -> Collection[str]:
        ip = self._target_node(fault)
        rng = random.Random(fault.target)
        numbers = rng.choices(SIGNALS, k=rng.randint(2, MAX_SIGNALS))
        for number in numbers:
            self._cluster.send_signal(ip, number)
            await asyncio.sleep(rng.uniform(0.0, MAX_SIGNAL_INTERVAL_S))
        self._cluster.send_signal(ip, signal.SIGCONT)
        if signal.SIGTERM in numbers:
            await self._cluster.stop(ip)
            await self._cluster.start(ip)
        return [ip]

    async def _kill_while_stopping(self, fault: Fault) -> Collection[str]:
        ip = self._target_node(fault)
        self._cluster.send_signal(ip, signal.SIGTERM)
        await asyncio.sleep(fault.duration_s * 2)
        await self._cluster.kill(ip)
        await self._cluster.start(ip)
        return [ip]

    async def _partition(self, fault: Fault) -> Collection[str]:
        ip, nodes = self._target_node(fault), self._cluster.nodes
        candidates = sorted({*nodes} - {ip})
        others = set(random.Random(fault.target).sample(candidates, k=len(nodes) // 2))
        await self._partition_for(fault, ip, others)
        return [ip, *others]

    async def _partition_from_machines(self, fault: Fault) -> Collection[str]:
        proxies = self._cluster.proxies
        ip = proxies[int(fault.target * len(proxies))]
        blocked_machines = self._machines[:: 2 + int(fault.target * 2)]
        await self._partition_for(fault, ip, {machine.address for machine in blocked_machines})
        return [ip]

    async def _partition_for(self, fault: Fault, ip: str, others: set[str]) -> None:
        self._cluster.partition(ip, others)
        await asyncio.sleep(fault.duration_s)
        self._cluster.heal(ip, others)

    async def _disconnect_clients(self, fault: Fault) -> Collection[str]:
        self._clients.disconnecting_share = DISCONNECTING_SHARE
        await asyncio.sleep(fault.duration_s)
        self._clients.disconnecting_share = 0.0
        return []

    async def _change_configuration(self, fault: Fault) -> Collection[str]:
        await self._operator.replace_configuration()
        return []

    def _target_node(self, fault: Fault) -> str:
        nodes = self._cluster.nodes
        return nodes[int(fault.target * len(nodes))]
