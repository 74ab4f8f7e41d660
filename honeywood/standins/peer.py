"""A peer that listens, and HTTP/1.1 as far as a stand-in needs it."""
import socket
import threading


class Peer:
    """A stand-in that listens: each connection has a thread, which `serve` reads and answers."""

    def __init__(self):
        self.address, self.sockets = "", []
        self.listen()

    def listen(self):
        self.sock = socket.create_server(("127.0.0.1", self.port()))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self.accept, args=(self.sock,), daemon=True).start()

    def port(self):
        return int(self.address.partition(":")[2] or 0)

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.sockets.append(sock)
            threading.Thread(target=self.talk, args=(sock,), daemon=True).start()

    def talk(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        sock.close()

    def drop(self):
        """Ends all connections; none is taken until listen()."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def read_message(sock, rest=b""):
    """(first line, fields, body) of the next message, and what is behind it; None where there is none."""
    while b"\r\n\r\n" not in rest:
        some = sock.recv(65536)
        if not some:
            return None, rest
        rest += some
    head, _, rest = rest.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    while len(rest) < int(fields.get("content-length", 0)):
        some = sock.recv(65536)
        if not some:
            return None, rest
        rest += some
    size = int(fields.get("content-length", 0))
    return (first, fields, rest[:size]), rest[size:]


def health(address):
    """The status of a front's health call, None where it takes no connection or says nothing."""
    try:
        with socket.create_connection(address, 15) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            return int(read_message(sock)[0][0].split()[1])
    except (OSError, TypeError):
        return None


def rpc(verb, name, method, timeout, *fields):
    """The bytes of an RPC without a body, with so many fields of one's own as "Name: value"."""
    head = (f"{verb} /api HTTP/1.1", "Host: x", f"X-Request-ID: {name}", f"X-Timeout: {timeout}",
            f"X-Priority-Class: {method}", *fields, "Content-Length: 0")
    return ("\r\n".join(head) + "\r\n\r\n").encode()
