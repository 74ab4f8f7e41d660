"""The system on loopback, as it happens: three controllers and two proxies as processes of their own,
stand-in machines, a client, a configuration and a rollout. `python -m honeywood.lab.emulator.loopback`, or
`make emulate`."""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.rpc.client import Caller
from honeywood.gateway.rpc.connection import Connection
from honeywood.gateway.rpc.reply import ExchangeFailure
from honeywood.gateway.rpc.statuses import INTERNAL_ERROR, status_of
from honeywood.lab.emulator.boot import boot
from honeywood.standins.sorting import Machine

# Addresses of its own for each run, so that several can run on one machine; 127.1 to 127.200 are the soak's.
NETWORK = f"127.{220 + os.getpid() % 30}.0"
CONTROLLERS, PROXIES = [f"{NETWORK}.{n}" for n in (11, 12, 13)], [f"{NETWORK}.{n}" for n in (21, 22)]
HTTP, READY, CTL, FIRST = 18080, 18081, 18082, 18090
SERVICE, HOST = "parcels", "sort.example"
PER_S, ROLLOUT_S = 60, 10.0


def configuration(version):
    """One route to one service."""
    route = {
        "vhost": HOST,
        "pfx": "/parcel/",
        "kind": "safe",
        "timeout_s": 1.0,
        "target_s": 0.3,
        "prio": 1,
        "svc": SERVICE,
        "tries": 2,
    }
    service = {"hc_path": "/health", "max_conns": 50, "proto": "h1", "tls": False}
    return {
        "ver": f"{version:08x}",
        "res": [
            {"type": "routes", "hdr": {"name": "r"}, "spec": route},
            {"type": "svcs", "hdr": {"name": SERVICE}, "spec": service},
        ],
    }


class LoopbackSystem:
    """Everything that the demonstration starts, and what it saw."""

    def __init__(self, folder):
        """Files and logs go to `folder`."""
        self.folder, self.caller, self.began, self.processes = folder, Caller(), time.monotonic(), {}
        self.seen, self.machines, self.random = {}, [], random.Random(1)

    def tell(self, text):
        """Prints a line with the time since the beginning."""
        print(f"{time.monotonic() - self.began:6.2f} s  {text}", flush=True)

    async def start(self, role, ip):
        """A program as its own process, told by a settings file."""
        path = os.path.join(self.folder, f"{ip}.toml")
        with open(path, "w") as file:
            seeds = [f"{controller}:{CTL}" for controller in CONTROLLERS]
            data = os.path.join(self.folder, ip)
            file.write(boot(ip, "hall", seeds, data=data, ports=(HTTP, READY, CTL, FIRST, FIRST + 9)))
        log = open(os.path.join(self.folder, f"{ip}.log"), "ab")
        self.processes[ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"honeywood.gateway.{role}",
            stdout=log,
            stderr=log,
            env={**os.environ, "HONEYWOOD_NODE_FILE": path},
        )

    async def operate(self, call, of="", body=None):
        """The answer to an operator's call by whichever controller answers, None where it was refused or
        none did."""
        for ip in self.random.sample(CONTROLLERS, len(CONTROLLERS)) * 20:
            try:
                return await self.caller.call(ip, CTL, f"/v1/rpc?call={call}&of={of}", body or {}, 1.0)
            except GatewayError as error:
                if status_of(error) < INTERNAL_ERROR:
                    return None
            await asyncio.sleep(0.1)
        return None

    async def heartbeats(self):
        """What the machines call the controllers for."""
        while True:
            for machine in self.machines:
                await self.operate("instances.heartbeat", machine.id, machine.beat())
            await asyncio.sleep(0.5)

    async def ask(self, at):
        """How the request number `at` ended."""
        ip = PROXIES[at % len(PROXIES)]
        headers = [(b"host", HOST.encode()), (b"x-try-id", b"%d" % at), (b"x-deadline-ms", b"1000")]
        try:
            link = await Connection.open(ip, HTTP, 1.0)
        except OSError as wrong:
            return str(wrong)
        reply = await link.exchange(
            b"GET", b"/parcel/7", headers, b"", asyncio.get_running_loop().time() + 1.0
        )
        link.close()
        return (
            "broken off"
            if isinstance(reply, ExchangeFailure)
            else f"{reply.status} by {reply.body.decode()[:2]}"
        )

    async def client(self):
        """Requests all the time."""
        at = 0
        while True:
            at += 1
            asyncio.ensure_future(self.ask(at)).add_done_callback(
                lambda task: self.seen.update({task.result(): self.seen.get(task.result(), 0) + 1})
            )
            await asyncio.sleep(1 / PER_S)

    async def report(self):
        """What the client saw, every second."""
        while True:
            await asyncio.sleep(1.0)
            seen, self.seen = self.seen, {}
            self.tell("the client saw " + ", ".join(f"{n} x {what}" for what, n in sorted(seen.items())))

    async def rollout(self, version, bad):
        """A rollout of a version whose answers fail with the share `bad`, until it has an end."""
        new = [await Machine(SERVICE, version, bad).open() for _ in range(3)]
        self.machines += new
        self.tell(f"operator: rollouts.start to {version}, of whose answers {bad:.0%} fail")
        await self.operate("rollouts.start", "", {"svc": SERVICE, "to_ver": version, "over_s": ROLLOUT_S})
        state = "active"
        while state == "active":
            await asyncio.sleep(0.25)
            found = await self.operate("rollouts.read", SERVICE)
            state = "active" if found is None else found["state"]
        self.tell(f"operator: rollouts.read says {state}")
        for machine in [m for m in self.machines if (m.ver == version) == (state == "reverted")]:
            self.machines.remove(machine)
            await self.operate("instances.leave", machine.id)
            machine.close()

    async def show_rollouts(self):
        """A good version, then a bad one while a controller is down."""
        await self.rollout("v2", 0.0)
        await asyncio.sleep(1)
        self.tell(f"controller {CONTROLLERS[0]} is killed")
        self.processes[CONTROLLERS[0]].send_signal(signal.SIGKILL)
        await self.rollout("v3", 0.5)

    async def run(self, rollouts):
        """The demonstration, with its two rollouts or without."""
        for role, places in (("controller", CONTROLLERS), ("proxy", PROXIES)):
            for ip in places:
                await self.start(role, ip)
        self.tell("three controllers and two proxies start")
        found = await self.operate("config.replace", "", configuration(1))
        self.tell(f"operator: config.replace 00000001: {'refused' if found is None else 'acknowledged'}")
        self.machines = [await Machine(SERVICE, "v1", 0.0).open() for _ in range(3)]
        tasks = [asyncio.ensure_future(work) for work in (self.heartbeats(), self.client(), self.report())]
        await asyncio.sleep(3)
        if rollouts:
            await self.show_rollouts()
        found = await self.operate("config.read")
        self.tell(f"operator: config.read says version {found['ver']}")
        for task in tasks:
            task.cancel()
        for ip, process in self.processes.items():
            if process.returncode is None:
                process.terminate()
                self.tell(f"{ip} ended with status {await process.wait()}")


def main():
    """Runs it in a folder of its own."""
    parser = argparse.ArgumentParser(description="The system's processes on loopback, shown as it happens.")
    parser.add_argument("--no-rollouts", action="store_true", help="Only a configuration and requests.")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(LoopbackSystem(folder).run(rollouts=not options.no_rollouts))


if __name__ == "__main__":
    main()
