"""Stubs of discovery and of the platform, which send what a scenario prescribes."""
from honeywood.standins.peer import Peer, read_message


class DiscoveryStub(Peer):
    """Accepts requests to watch the server list and sends the updates it is given.

    Attributes:
        since: the revision that each watch request named, in order of arrival.
        revision: the revision of the list that was sent last.
        watchers: the sockets of the watch requests, in order of arrival.
    """

    def __init__(self):
        super().__init__()
        self.since, self.revision, self.watchers = [], 1, []

    def serve(self, sock):
        got, _ = read_message(sock)
        if not got:
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watchers.append(sock)
        self.since.append(int(got[0].split("since=")[1].split()[0]))
        while sock.recv(100):
            pass

    def send_update(self, text):
        """Send a line, as one HTTP chunk, to the watcher that connected last."""
        data = text.encode() + b"\n"
        self.watchers[-1].sendall(b"%x\r\n%s\r\n" % (len(data), data))


class PlatformStub(Peer):
    """Sends the same reply to each vote and keeps the sockets of subscribers.

    Attributes:
        reply: the reply to each vote; "none" sends no reply.
        votes: the words of each vote received, without the command.
        subscribers: the sockets whose subscription (NOTIFY) was accepted.
        subscribe_reply: the reply to a subscription; only "OK" accepts it.
    """

    def __init__(self):
        super().__init__()
        self.reply, self.votes, self.subscribers, self.subscribe_reply = "OK 1 0 stable 1 0", [], [], "OK"

    def serve(self, sock):
        for line in sock.makefile("rb"):
            if line == b"NOTIFY\r\n":
                sock.sendall(f"{self.subscribe_reply}\r\n".encode())
                if self.subscribe_reply == "OK":
                    self.subscribers.append(sock)
            else:
                self.votes.append(line.decode().split()[1:])
                sock.sendall((self.reply + "\r\n").encode() if self.reply != "none" else b"")
