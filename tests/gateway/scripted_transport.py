"""Connections between a real caller, connection or listener and a scripted peer, on a clock that jumps."""

import asyncio

from honeywood.lab.emulator.loop import Loop

STEP = 0.001  # seconds one way


class ScriptedLoop(Loop):
    """A clock that jumps; connections go to scripted peers."""

    def __init__(self, peer):
        super().__init__()
        self.peer, self.lines = peer, []

    async def create_connection(self, factory, ip, port):
        await asyncio.sleep(STEP)
        protocol = factory()
        self.lines.append(ScriptedTransport(self, protocol, self.peer))
        protocol.connection_made(self.lines[-1])
        return self.lines[-1], protocol


class ScriptedTransport(asyncio.Transport):
    """One end's transport; `peer(line, request)` plays the other for each whole request."""

    def __init__(self, loop, protocol, peer=None):
        super().__init__({"sockname": ("f", 80), "peername": ("c", 1)})
        self.loop, self.protocol, self.peer = loop, protocol, peer
        self.got, self.closing, self.max_write_bytes = b"", False, None

    def write(self, data):
        if self.closing:
            return
        if self.max_write_bytes is not None:  # a reset within a request, or right behind it
            data, self.max_write_bytes = data[: self.max_write_bytes], None
            self.loop.call_later(STEP, self.reset)
        self.loop.call_later(STEP, self.arrive, data)

    def arrive(self, data):
        self.got += data
        while self.peer is not None:
            head, end, body = self.got.partition(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            if not end:
                return
            size = sum(int(line[15:]) for line in lines if line.startswith(b"content-length"))
            if len(body) < size:
                return
            self.got = body[size:]
            self.peer(self, head + end + body[:size])

    def say(self, data):
        if data and not self.closing:
            self.protocol.data_received(data)

    def eof(self):
        if not self.closing:
            self.protocol.eof_received()
            self.close()

    def reset(self):
        self.end(ConnectionResetError("reset"))

    def close(self):
        self.end(None)

    abort = close

    def end(self, why):
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, why)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    resume_reading = pause_reading
