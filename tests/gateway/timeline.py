"""Timelines written as text tables, with a column per process (or machine or operator) and a row per time.

The world is the emulator's (honeywood/lab/emulator/world.py): real programs on a simulated clock. Each cell
holds commands of World.execute.
"""

from honeywood.lab.emulator import world
from honeywood.lab.emulator.loop import REFUSING_DISK
from honeywood.lab.emulator.process import FROZEN, FULL_SPEED


class World(world.World):
    """A world that plays timelines and records when calls were acknowledged."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.acked, self.heartbeat_sequences = {}, {}

    def execute(self, name, command):
        """Executes a command of a timeline for the process, machine or operator of its column.

        `=`, `sees` and `acked` are checks: `= 7` that the process has configuration version 7, `sees m ready`
        that it knows machine m as ready, `acked 7` that a call was acknowledged, `acked 7 not` that none was.
        """
        action, *args = command.split()
        if action in ("start", "kill", "wipe", "terminate"):
            getattr(self, action)(name)
        elif action == "cut":
            self.partition(name, args[0])
        elif action == "mute":  # messages that it sends to these are lost
            self.partitions |= {(name, other) for other in args[0]}
        elif action == "outside":  # clients, machines and operators cannot reach it
            self.partition(name, [world.OUTSIDE])
        elif action in ("freeze", "thaw", "slow"):
            self.set_slowdown(name, {"freeze": FROZEN, "thaw": FULL_SPEED, "slow": 30.0}[action])
        elif action == "clock":  # its time of day is changed by that many seconds
            self.clock_offsets_s[name] = self.clock_offsets_s.get(name, 0.0) + float(args[0])
        elif action == "refuse":
            self.set_disk_fault(name, REFUSING_DISK)
        elif action == "join":
            self.heal()
        elif action == "put":
            self.loop.create_task(self._replace_configuration(name, int(args[0])))
        elif action == "order":
            self.loop.create_task(
                self.ask(
                    name, "rollouts.start", body={"svc": "s", "to_ver": args[0], "over_s": float(args[1])}
                )
            )
        elif action == "beat":
            id, state = args
            self.heartbeat_sequences[id] = self.heartbeat_sequences.get(id, 0) + 1
            self.loop.create_task(self._send_heartbeat(name, id, state))
        elif action == "=":
            version = self.version(name)
            assert str(version) == args[0], f"{name} has {version}, not {args[0]}, at {self.loop.time():.2f}"
        elif action == "sees":
            assert (
                self.state(name, args[0]) == args[1]
            ), f"{name} sees {args[0]} as {self.state(name, args[0])} at {self.loop.time():.2f}"
        elif action == "acked":
            assert (args[0] in self.acked) == (
                len(args) == 1
            ), f"{command} at {self.loop.time():.2f}: {self.acked}"
        else:
            raise ValueError(f"unknown command {command!r}")

    async def _replace_configuration(self, name, version):
        status, _ = await self.ask(name, "config.replace", body=config(version))
        if status == 200:
            self.acked[str(version)] = self.loop.time()

    async def _send_heartbeat(self, name, id, state):
        body = {
            "svc": "s",
            "addr": "10.0.0.1:1",
            "zone": "z",
            "ver": "v1",
            "slots": 4,
            "state": state,
            "cold_left_s": 0,
            "seq": self.heartbeat_sequences[id],
        }
        status, _ = await self.ask(name, "instances.heartbeat", id, body)
        if status == 200:
            self.acked[f"{id}/{state}"] = self.loop.time()

    def play(self, chart, after=lambda: None):
        """Plays a chart: a header `at | a | b ...`, then rows in order of time.

        `after` is called at intervals while time passes.
        """
        lines = [
            [cell.strip() for cell in line.split("|")] for line in chart.strip().splitlines() if "|" in line
        ]
        names = lines[0][1:]
        for at, *cells in lines[1:]:
            self.run(float(at), after)
            for name, cell in zip(names, cells):
                for command in cell.split(","):
                    if command.strip():
                        self.execute(name, command.strip())
        return self


def config(version, routes=1, kind="safe"):
    """A small configuration as operators send it."""
    res = [
        {
            "type": "routes",
            "hdr": {"name": f"r{n}"},
            "spec": {
                "vhost": "h.example",
                "pfx": f"/p{n}/",
                "kind": kind,
                "timeout_s": 0.6,
                "target_s": 0.25,
                "prio": 0,
                "svc": "s",
                "tries": 2,
            },
        }
        for n in range(routes)
    ]
    res.append(
        {
            "type": "svcs",
            "hdr": {"name": "s"},
            "spec": {"hc_path": "/h", "max_conns": 9, "proto": "h1", "tls": False},
        }
    )
    return {"ver": f"{version:08x}", "res": res}


def machine(id, ver="v1", slots=2, state="ready"):
    """The record of a machine, as it is disseminated."""
    endpoint = {"svc": "s", "ip": id, "port": 1, "zone": "z"}
    return {**endpoint, "ver": ver, "slots": slots, "state": state, "cold": 0}
