"""One front through a release, recorded; then what its trace tells."""
import threading
from collections import Counter

from honeywood.lab.world import World
from honeywood.standins.release import Load

SERVERS, NEW, RATE, CLIENTS = 8, 4, 150, 24
RELEASE_AT = 2.0               # seconds after the start
TRACE = """trace {{
  folder = "{folder}"
}}
"""


def demo(folder, seconds, failing, say):
    """Plays it and returns (the trace's path, the world's history of steps)."""
    with World(folder, SERVERS) as world:
        world.start(TRACE.format(folder=world.folder / "trace"), "demo")
        say(f"front on loopback, {SERVERS} servers of build 1, {RATE} RPCs a second")
        release = threading.Timer(RELEASE_AT, world.release, (2, NEW, failing))
        release.start()
        answers = Load(world.listen, RATE, CLIENTS, seconds).run()
        release.join()
        code = world.stop()
        counts = sorted(Counter(status for _, status, _ in answers).items())
        say(f"{len(answers)} RPCs: "
            + ", ".join(f"{count} answered {status or 'nothing'}" for status, count in counts))
        say(f"the front ended with {code}; steps of build 2: "
            + ", ".join(f"{step} {standing}" for _, step, standing in world.platform.history))
        paths = sorted((world.folder / "trace").glob("*.trace"))
        return [str(path) for path in paths], answers
