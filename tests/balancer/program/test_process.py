"""What `run` starts is one process that needs only threads and IPv4: some platforms refuse the rest."""

import os
import pathlib
import signal
import subprocess
import sys
import tomllib

from socket_player import SocketPlayer

ROOT = pathlib.Path(__file__).parents[3]
# Loaded into the program at its start; each event that matters is a line, written as it happens.
HOOK = """
import os, sys
BARRED = ("subprocess.", "os.fork", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "pty.spawn")
out = os.open(os.environ["AUDITED"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
def hook(event, given):
    if event.startswith(BARRED):
        os.write(out, f"{event} {given}\\n".encode())
    elif event == "socket.__new__":
        os.write(out, f"socket {int(given[1])} {int(given[2]) & 0xf}\\n".encode())
sys.addaudithook(hook)
import socket
"""
RPCS = """
server a 1 ok b 1 error
list a b
start
ask r1 read
until status("r1") == 200
ask r2 book
until ended("r2") or status("r2")
moved
until discovery.watchers
ask r3 read
until status("r3") == 200
"""


class Audited(SocketPlayer):
    def spawn(self):
        """By the `run` line itself, with this interpreter in place of the installed one."""
        self.write()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        (self.folder / "hook").mkdir(exist_ok=True)
        (self.folder / "hook" / "sitecustomize.py").write_text(HOOK)
        self.audited = self.folder / "audited"
        path, log = self.folder / "config.json", open(self.folder / "log", "ab")
        self.files.append(log)
        return subprocess.Popen(
            ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **os.environ,
                "ROUTER_CONFIG": str(path),
                "AUDITED": str(self.audited),
                "PYTHONPATH": f"{self.folder / 'hook'}:{ROOT}",
            },
        )


def test_run_is_one_process_with_ipv4_sockets_only(tmp_path):
    game = Audited(tmp_path)
    try:
        for line in filter(None, RPCS.splitlines()):
            verb, _, rest = line.partition(" ")
            game.line(verb, rest)
        tasks = pathlib.Path(f"/proc/{game.process.pid}/task")
        # The shell has become the program: it has no child, and is bound to the C library as it runs.
        assert "honeywood" in pathlib.Path(f"/proc/{game.process.pid}/cmdline").read_text()
        assert not any(
            (task / "children").read_text().split()
            for task in tasks.iterdir()
            if (task / "children").exists()
        )
        assert "/libc" in pathlib.Path(f"/proc/{game.process.pid}/maps").read_text()
        game.process.send_signal(signal.SIGTERM)
        assert game.process.wait(15) == 0, game.log()
        seen = game.audited.read_text().splitlines()
    finally:
        game.end()
    # AF_INET is 2; SOCK_STREAM 1, SOCK_DGRAM 2.
    assert "socket 2 1" in seen
    assert set(seen) <= {"socket 2 1", "socket 2 2"}, seen


def test_the_hook_sees_what_it_bars(tmp_path):
    """The check above can fail: the same hook tells of a program started and of a socket of another kind."""
    (tmp_path / "sitecustomize.py").write_text(HOOK)
    text = "import os, socket; os.system('true'); socket.socket(socket.AF_UNIX)"
    subprocess.run(
        [sys.executable, "-c", text],
        check=True,
        env={**os.environ, "AUDITED": str(tmp_path / "seen"), "PYTHONPATH": str(tmp_path)},
    )
    seen = (tmp_path / "seen").read_text()
    assert "os.system" in seen and "socket 1 1" in seen
