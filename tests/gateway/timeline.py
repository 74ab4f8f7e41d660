"""Timelines drawn as text: a column a front (or controller, machine, operator), a row a moment.

The world is the emulator's (honeywood/lab/emulator/world.py): real programs, one clock that jumps. Cells are
words of World.execute.
"""

from honeywood.lab.emulator import world
from honeywood.lab.emulator.loop import REFUSING_DISK
from honeywood.lab.emulator.process import FROZEN, FULL_SPEED


class World(world.World):
    """A world that charts are played in; it keeps what was acknowledged."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.acked, self.heartbeat_sequences = {}, {}

    # what is drawn
    def execute(self, name, cell):
        """Does what a cell says. `=` cells look: `= 7` that a node has that version."""
        word, *more = cell.split()
        if word in ("start", "kill", "wipe"):
            getattr(self, word)(name)
        elif word == "cut":
            self.partition(name, more[0])
        elif word == "mute":  # what it sends to these doesn't arrive
            self.partitions |= {(name, other) for other in more[0]}
        elif word == "outside":  # no client, machine or operator reaches it
            self.partition(name, [world.OUTSIDE])
        elif word in ("freeze", "thaw", "slow"):
            self.set_slowdown(name, {"freeze": FROZEN, "thaw": FULL_SPEED, "slow": 30.0}[word])
        elif word == "clock":  # its time of day steps by so many seconds
            self.clock_offsets_s[name] = self.clock_offsets_s.get(name, 0.0) + float(more[0])
        elif word == "refuse":
            self.set_disk_fault(name, REFUSING_DISK)
        elif word == "join":
            self.heal()
        elif word == "put":
            self.loop.create_task(self._put(name, int(more[0])))
        elif word == "order":
            self.loop.create_task(
                self.ask(
                    name, "rollouts.start", body={"svc": "s", "to_ver": more[0], "over_s": float(more[1])}
                )
            )
        elif word == "beat":
            id, state = more
            self.heartbeat_sequences[id] = self.heartbeat_sequences.get(id, 0) + 1
            self.loop.create_task(self._beat(name, id, state))
        elif word == "=":
            held = self.version(name)
            assert str(held) == more[0], f"{name} has {held}, not {more[0]}, at {self.loop.time():.2f}"
        elif word == "sees":
            assert (
                self.state(name, more[0]) == more[1]
            ), f"{name} sees {more[0]} as {self.state(name, more[0])} at {self.loop.time():.2f}"
        elif word == "acked":
            assert (more[0] in self.acked) == (
                len(more) == 1
            ), f"{cell} at {self.loop.time():.2f}: {self.acked}"
        else:
            raise ValueError(f"a cell says {cell!r}")

    async def _put(self, name, version):
        status, _ = await self.ask(name, "config.replace", body=config(version))
        if status == 200:
            self.acked[str(version)] = self.loop.time()

    async def _beat(self, name, id, state):
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
        """Plays a chart: a header `at | a | b ...`, then rows; rows are in order of time."""
        lines = [
            [cell.strip() for cell in line.split("|")] for line in chart.strip().splitlines() if "|" in line
        ]
        names = lines[0][1:]
        for at, *cells in lines[1:]:
            self.run(float(at), after)
            for name, cell in zip(names, cells):
                for part in cell.split(","):
                    if part.strip():
                        self.execute(name, part.strip())
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
    """What a note says of a machine."""
    place = {"svc": "s", "ip": id, "port": 1, "zone": "z"}
    return {**place, "ver": ver, "slots": slots, "state": state, "cold": 0}
