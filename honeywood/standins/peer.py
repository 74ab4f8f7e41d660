"""The base class of stubs that listen on loopback, and the parts of HTTP/1.1 that the stubs need."""
import socket
import threading


class Peer:
    """A listening stub. Each connection has a thread, in which the subclass's `serve` reads and responds."""

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
            threading.Thread(target=self.handle_connection, args=(sock,), daemon=True).start()

    def handle_connection(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        sock.close()

    def drop(self):
        """Close the listener and all connections; none is accepted until listen() is called."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def read_message(sock, rest=b""):
    """Read the next HTTP message.

    Args:
        sock: the connection.
        rest: the bytes received after the previous message.

    Returns:
        (first line, header fields by lower-case name, body), or None if the connection ended before the
        message was complete; and the bytes received after it.
    """
    while b"\r\n\r\n" not in rest:
        data = sock.recv(65536)
        if not data:
            return None, rest
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    while len(rest) < int(fields.get("content-length", 0)):
        data = sock.recv(65536)
        if not data:
            return None, rest
        rest += data
    size = int(fields.get("content-length", 0))
    return (first, fields, rest[:size]), rest[size:]


def health(address):
    """Return the status of a balancer's health call; None if it can't be reached or doesn't respond."""
    try:
        with socket.create_connection(address, 15) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            return int(read_message(sock)[0][0].split()[1])
    except (OSError, TypeError):
        return None


def rpc(verb, name, method, timeout, *fields):
    """Encode an RPC without a body.

    Args:
        verb: the HTTP method.
        name: the request ID.
        method: the RPC's method, sent as its priority class.
        timeout: the RPC's timeout in seconds.
        *fields: further header fields, each as "Name: value".

    Returns:
        The bytes of the request.
    """
    head = (f"{verb} /api HTTP/1.1", "Host: x", f"X-Request-ID: {name}", f"X-Timeout: {timeout}",
            f"X-Priority-Class: {method}", *fields, "Content-Length: 0")
    return ("\r\n".join(head) + "\r\n\r\n").encode()
