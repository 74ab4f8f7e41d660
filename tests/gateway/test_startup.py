"""Real processes, started in the way the deploy file starts them."""

import os
import signal
import socket
import subprocess
import sys
import tempfile

from ports import free_port
from ward import each, test

from honeywood.lab.emulator.boot import settings_text

UNUSED = ("_ssl", "click", "multiprocessing", "hashlib")


@test("a {role} starts without OpenSSL, click and multiprocessing, and listens")
def _(role=each("proxy", "controller"), listener=each("ready", "ctl"), status=each(b"503", b"404")):
    with tempfile.TemporaryDirectory() as folder:
        ports = [free_port() for _ in range(4)]
        text = settings_text("127.0.0.1", tolerated_failures=0, data=f"{folder}/data", ports=(*ports, 65535))
        path = os.path.join(folder, "boot.toml")
        with open(path, "w") as file:
            file.write(text)
        code = (
            "import atexit, sys; atexit.register(lambda: print(sorted(sys.modules)))\n"
            "from honeywood.gateway.startup import run\n"
            f"run('honeywood.gateway.{role}.program', '{role.title()}')"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", code],
            stdout=subprocess.PIPE,
            env={**os.environ, "HONEYWOOD_NODE_FILE": path},
        )
        try:
            while b'"started"' not in (line := process.stdout.readline()):
                assert line, "the process ended before it logged that it had started"
            address = "127.0.0.1", ports[1 if listener == "ready" else 2]
            with socket.create_connection(address, 5) as peer:
                peer.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                assert status in peer.recv(100)
            process.send_signal(signal.SIGTERM)
            modules = process.communicate(timeout=20)[0].rpartition(b"[")[2].decode()
            assert process.returncode == 0
            assert not [name for name in UNUSED if f"'{name}'" in modules], modules
        finally:
            process.kill()
