"""Connections between a real caller, connection or listener and a scripted peer, on a simulated clock."""

import asyncio

from honeywood.lab.emulator.loop import Loop

STEP = 0.001  # seconds that bytes take in one direction


class ScriptedLoop(Loop):
    """An event loop on a simulated clock whose connections lead to a scripted peer."""

    def __init__(self, peer):
        super().__init__()
        self.peer, self.transports = peer, []

    async def create_connection(self, factory, ip, port):
        await asyncio.sleep(STEP)
        protocol = factory()
        self.transports.append(ScriptedTransport(self, protocol, self.peer))
        protocol.connection_made(self.transports[-1])
        return self.transports[-1], protocol


class ScriptedTransport(asyncio.Transport):
    """The transport of one end; `peer(transport, request)` is called with each complete request.

    If `max_write_bytes` is set, the next write is cut to that length and the connection is reset after it.
    """

    def __init__(self, loop, protocol, peer=None):
        super().__init__({"sockname": ("f", 80), "peername": ("c", 1)})
        self.loop, self.protocol, self.peer = loop, protocol, peer
        self.received, self.closing, self.max_write_bytes = b"", False, None

    def write(self, data):
        if self.closing:
            return
        if self.max_write_bytes is not None:  # reset within a request, or right after it
            data, self.max_write_bytes = data[: self.max_write_bytes], None
            self.loop.call_later(STEP, self.reset)
        self.loop.call_later(STEP, self.deliver_to_peer, data)

    def deliver_to_peer(self, data):
        self.received += data
        while self.peer is not None:
            head, end, body = self.received.partition(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            if not end:
                return
            size = sum(int(line[15:]) for line in lines if line.startswith(b"content-length"))
            if len(body) < size:
                return
            self.received = body[size:]
            self.peer(self, head + end + body[:size])

    def say(self, data):
        """Delivers bytes that the peer sends to the protocol."""
        if data and not self.closing:
            self.protocol.data_received(data)

    def eof(self):
        if not self.closing:
            self.protocol.eof_received()
            self.close()

    def write_eof(self):
        """Ends the stream to the peer, which closes the connection when it receives that."""
        if not self.closing:
            self.loop.call_later(2 * STEP, self.eof)

    def reset(self):
        self.end(ConnectionResetError("reset"))

    def close(self):
        self.end(None)

    abort = close

    def end(self, error):
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, error)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    resume_reading = pause_reading
