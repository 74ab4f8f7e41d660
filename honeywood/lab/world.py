"""A balancer with stubs of its peers on loopback: servers, discovery, and a platform that advances or reverts
a release by the balancer's votes."""
import copy
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

from honeywood.operator.reader import read, write_compiled
from honeywood.standins.peer import health
from honeywood.standins.release import Discovery, Platform, Worker

CAPS = [0.25, 0.5, 1.0]
SETTINGS = {
    "balancers": 1, "profiles": [
        {"name": "bin-lookup", "idempotency": "safe", "aim_us": 500000, "give_up_us": 2000000},
        {"name": "route-plan", "idempotency": "safe", "aim_us": 500000, "give_up_us": 2000000},
        {"name": "bag-assign", "idempotency": "unsafe", "aim_us": 500000, "give_up_us": 2000000}],
    "limits": {"max_attempts": 3, "cancel": True, "retry_after": True, "max_retry_after_us": 500000,
               "idle_close_us": 30000000, "may_duplicate": True, "probes": True},
    "rules": {"cold_share": 0.5, "cold_us": 1000000, "tip_multiple": 3.0, "overload_for_us": 1000000},
    "report": {"fields": ["active"], "source": "pull"}, "zones": ["a"],
    "family_info": {"caps": CAPS, "waves": [0.25, 0.5, 1.0], "allowance": 2, "vote_wait_us": 300000,
                    "exposure_window_us": 3000000, "ballot_ttl_us": 10000000}}
START_TIMEOUT_S = 20


class World:
    """Stubs, and the balancer that `start` runs with them. As a context manager it stops all of them.

    `work` is the mean time in seconds that a server needs for an RPC, `bake` the minimum time in seconds of a
    step of a release."""

    def __init__(self, folder, servers=8, work=0.01, bake=1.0, seed=1):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.work, self.seed, self.balancer = work, seed, None
        self.discovery, self.platform = Discovery(), Platform(CAPS, bake)
        self.workers = [Worker(f"s{number}", 1, work, seed=seed * 100 + number) for number in range(servers)]
        for worker in self.workers:
            worker.started_at_ms = 0
        self.initial_members = self.discovery.publish([worker.entry() for worker in self.workers])
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.listen = listener.getsockname()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.balancer and self.balancer.poll() is None:
            self.balancer.kill()
        for peer in (self.discovery, self.platform, *self.workers):
            try:
                peer.drop()
            except OSError:
                pass               # it was stopped before

    def start(self, operator=None, name="lab"):
        """Starts the balancer and waits until it is healthy.

    `operator` is the text of an operator file, if any. Raises RuntimeError if the balancer does not start."""
        config = {
            "name": name, "seed": "5eed", "listen": "{}:{}".format(*self.listen),
            "discovery": self.discovery.address, "known": self.initial_members,
            "settings": copy.deepcopy(SETTINGS),
            "limits": {"sockets": 1024, "memory_mb": 192},
            "pipeline": {"address": self.platform.address, "news": {
                "image": 1, "ring": len(CAPS) - 1, "progress": "stable", "ceiling": 1.0, "lag_ms": 1}}}
        (self.folder / "config.json").write_text(json.dumps(config))
        environment = {**os.environ, "ROUTER_CONFIG": str(self.folder / "config.json")}
        if operator:
            (self.folder / "operator.hcl").write_text(operator)
            environment["ROUTER_OPERATOR"] = str(self.folder / "operator.json")
            write_compiled(read(self.folder / "operator.hcl"), environment["ROUTER_OPERATOR"])
        with open(self.folder / "log", "ab") as log:
            self.balancer = subprocess.Popen([sys.executable, "-m", "honeywood"], env=environment, stdout=log,
                                             stderr=log)
        deadline = time.monotonic() + START_TIMEOUT_S
        while health(self.listen) != 200:
            if self.balancer.poll() is not None or time.monotonic() > deadline:
                raise RuntimeError(f"the balancer did not start: {(self.folder / 'log').read_text()[-500:]}")
            time.sleep(0.02)

    def stop(self):
        """Stops the balancer gracefully and returns its exit code."""
        self.balancer.terminate()
        return self.balancer.wait(30)

    def release(self, build, servers, failing=0.0):
        """Starts the release of a build with a canary on `servers` new servers.

        `failing` is the share of RPCs that they fail."""
        self.workers += [Worker(f"t{number}", build, self.work, failing, seed=self.seed * 100 + 50 + number)
                         for number in range(servers)]
        self.discovery.publish([worker.entry() for worker in self.workers])
        self.platform.change(build, 0, "canary")

    def resource_counts(self):
        """Returns the present numbers of (file descriptors, threads) of the balancer."""
        return tuple(len(os.listdir(f"/proc/{self.balancer.pid}/{directory}"))
                     for directory in ("fd", "task"))

    def usage(self):
        """Returns (CPU seconds, peak memory in MB) of the balancer so far."""
        fields = Path(f"/proc/{self.balancer.pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{self.balancer.pid}/status").read_text()
        peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), peak / 1024
