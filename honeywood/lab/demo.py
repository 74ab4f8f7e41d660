"""Runs one balancer through a release and records a trace of it."""
import threading
from collections import Counter

from honeywood.lab.world import World
from honeywood.standins.release import Load

SERVERS, NEW, RATE, CLIENTS = 8, 4, 150, 24
RELEASE_AT_S = 2.0             # after the start of the load
TRACE = """trace {{
  folder = "{folder}"
}}
"""


def demo(folder, seconds, failing, echo):
    """Runs the demo and returns (the paths of the trace's files, the answers of the load).

    `failing` is the share of RPCs that the new build fails; `echo` prints a line."""
    with World(folder, SERVERS) as world:
        world.start(TRACE.format(folder=world.folder / "trace"), "demo")
        echo(f"balancer on loopback, {SERVERS} servers of build 1, {RATE} RPCs per second")
        release = threading.Timer(RELEASE_AT_S, world.release, (2, NEW, failing))
        release.start()
        answers = Load(world.listen, RATE, CLIENTS, seconds).run()
        release.join()
        exit_code = world.stop()
        counts = sorted(Counter(status for _, status, _ in answers).items())
        echo(f"{len(answers)} RPCs: "
             + ", ".join(f"{count} with status {status or 'none'}" for status, count in counts))
        echo(f"the balancer exited with status {exit_code}; steps of build 2: "
             + ", ".join(f"{step} {state}" for _, step, state in world.platform.history))
        paths = sorted((world.folder / "trace").glob("*.trace"))
        return [str(path) for path in paths], answers
