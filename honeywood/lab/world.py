"""A front among stand-ins: servers, discovery and a platform that goes by its votes, all on loopback."""
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
STARTS_WITHIN = 20             # seconds


class World:
    """Stand-ins, and the front that `start` runs with them. As a context it ends all of them."""

    def __init__(self, folder, servers=8, work=0.01, bake=1.0, seed=1):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.work, self.seed, self.front = work, seed, None
        self.discovery, self.platform = Discovery(), Platform(CAPS, bake)
        self.workers = [Worker(f"s{n}", 1, work, seed=seed * 100 + n) for n in range(servers)]
        for worker in self.workers:
            worker.started_at_ms = 0
        self.known = self.discovery.publish([worker.entry() for worker in self.workers])
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.listen = free.getsockname()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.front and self.front.poll() is None:
            self.front.kill()
        for peer in (self.discovery, self.platform, *self.workers):
            try:
                peer.drop()
            except OSError:
                pass               # it had gone before

    def start(self, operator=None, name="lab"):
        """Starts the front, with an operator file's text where one is given, and waits until it serves."""
        config = {
            "name": name, "seed": "5eed", "listen": "{}:{}".format(*self.listen),
            "discovery": self.discovery.address, "known": self.known, "settings": copy.deepcopy(SETTINGS),
            "limits": {"sockets": 1024, "memory_mb": 192},
            "pipeline": {"address": self.platform.address, "news": {
                "image": 1, "ring": len(CAPS) - 1, "progress": "stable", "ceiling": 1.0, "lag_ms": 1}}}
        (self.folder / "config.json").write_text(json.dumps(config))
        environ = {**os.environ, "ROUTER_CONFIG": str(self.folder / "config.json")}
        if operator:
            (self.folder / "operator.hcl").write_text(operator)
            environ["ROUTER_OPERATOR"] = str(self.folder / "operator.json")
            write_compiled(read(self.folder / "operator.hcl"), environ["ROUTER_OPERATOR"])
        with open(self.folder / "log", "ab") as log:
            self.front = subprocess.Popen([sys.executable, "-m", "honeywood"], env=environ, stdout=log,
                                          stderr=log)
        until = time.monotonic() + STARTS_WITHIN
        while health(self.listen) != 200:
            if self.front.poll() is not None or time.monotonic() > until:
                raise RuntimeError(f"the front did not start: {(self.folder / 'log').read_text()[-500:]}")
            time.sleep(0.02)

    def stop(self):
        """A planned stop; the front's exit code."""
        self.front.terminate()
        return self.front.wait(30)

    def release(self, build, servers, failing=0.0):
        """A build on trial on so many new servers."""
        self.workers += [Worker(f"t{n}", build, self.work, failing, seed=self.seed * 100 + 50 + n)
                         for n in range(servers)]
        self.discovery.publish([worker.entry() for worker in self.workers])
        self.platform.change(build, 0, "canary")

    def held(self):
        """(descriptors, threads) of the front now."""
        return tuple(len(os.listdir(f"/proc/{self.front.pid}/{what}")) for what in ("fd", "task"))

    def spent(self):
        """(CPU seconds, MB of memory at the most) of the front so far."""
        fields = Path(f"/proc/{self.front.pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{self.front.pid}/status").read_text()
        peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), peak / 1024
