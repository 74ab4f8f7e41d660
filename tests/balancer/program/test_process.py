"""The `run` command of deploy/balancer.toml starts one process that uses only threads and IPv4 sockets.

Some platforms forbid everything else.
"""

import os
import pathlib
import signal
import subprocess
import sys
import tomllib

from socket_player import SocketPlayer

ROOT = pathlib.Path(__file__).parents[3]
# Audit hook, loaded when the program starts; it writes a line for each relevant event at once.
HOOK = """
import os, sys
FORBIDDEN = ("subprocess.", "os.fork", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "pty.spawn")
out = os.open(os.environ["AUDITED"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
def hook(event, arguments):
    if event.startswith(FORBIDDEN):
        os.write(out, f"{event} {arguments}\\n".encode())
    elif event == "socket.__new__":
        os.write(out, f"socket {int(arguments[1])} {int(arguments[2]) & 0xf}\\n".encode())
sys.addaudithook(hook)
import socket
"""
RPCS = """
server a 1 ok b 1 error
list a b
start
request r1 read
until status("r1") == 200
request r2 book
until ended("r2") or status("r2")
change_addresses
until discovery.watchers
request r3 read
until status("r3") == 200
"""


class AuditedPlayer(SocketPlayer):
    def spawn(self):
        """Start the program by the `run` command, with this interpreter instead of the installed one."""
        self.write_configuration()
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
    player = AuditedPlayer(tmp_path)
    try:
        for line in filter(None, RPCS.splitlines()):
            verb, _, rest = line.partition(" ")
            player.run_command(verb, rest)
        tasks = pathlib.Path(f"/proc/{player.process.pid}/task")
        # The program has replaced the shell: it has no child process, and the C library is mapped into it.
        assert "honeywood" in pathlib.Path(f"/proc/{player.process.pid}/cmdline").read_text()
        assert not any(
            (task / "children").read_text().split()
            for task in tasks.iterdir()
            if (task / "children").exists()
        )
        assert "/libc" in pathlib.Path(f"/proc/{player.process.pid}/maps").read_text()
        player.process.send_signal(signal.SIGTERM)
        assert player.process.wait(15) == 0, player.log()
        events = player.audited.read_text().splitlines()
    finally:
        player.shut_down()
    # AF_INET is 2; SOCK_STREAM 1, SOCK_DGRAM 2.
    assert "socket 2 1" in events
    assert set(events) <= {"socket 2 1", "socket 2 2"}, events


def test_the_hook_reports_forbidden_events(tmp_path):
    """Shows that the test above can fail: the hook reports a started program and a Unix socket."""
    (tmp_path / "sitecustomize.py").write_text(HOOK)
    text = "import os, socket; os.system('true'); socket.socket(socket.AF_UNIX)"
    subprocess.run(
        [sys.executable, "-c", text],
        check=True,
        env={**os.environ, "AUDITED": str(tmp_path / "seen"), "PYTHONPATH": str(tmp_path)},
    )
    events = (tmp_path / "seen").read_text()
    assert "os.system" in events and "socket 1 1" in events
