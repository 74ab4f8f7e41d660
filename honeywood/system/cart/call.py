"""Calls between our programs: a JSON body to a path, a JSON body back."""

import asyncio
import json
from collections import Counter

import httpcore

from honeywood.system.cart.link import Broken, Link
from honeywood.system.terms.check import read_json
from honeywood.system.terms.outcome import Done, Failed, Wrong

CONNECT = 0.3  # seconds for a connection to one of ours
IDLE = 5.0  # seconds after which an idle connection isn't trusted


class Caller:
    """Keeps a few connections to each peer; `carried` counts bytes asked and answered by path."""

    def __init__(self):
        self.links, self.carried = {}, Counter()

    async def call(self, ip, port, path, body, within):
        """Done with the answer's object, or Failed with step and peer."""
        loop, peer = asyncio.get_running_loop(), f"{ip}:{port}"
        until, kept = loop.time() + within, self.links.setdefault((ip, port), [])
        raw = json.dumps(body, separators=(",", ":")).encode()
        headers = [(b"host", peer.encode()), (b"content-length", str(len(raw)).encode())]
        self.carried[f"{path} asked"] += len(raw)
        while True:
            link = kept.pop() if kept else None
            if link is not None and not (link.fit and loop.time() - link.idle_at < IDLE):
                link.close()
                continue
            try:
                fresh = link is None
                link = link or await Link.to(ip, port, min(CONNECT, within))
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as wrong:
                return Failed(path, f"{type(wrong).__name__}: {wrong}", peer, 503)
            reply = await link.exchange(b"POST", path.encode(), headers, raw, until)
            if isinstance(reply, Broken) and not fresh and not reply.late and loop.time() < until:
                continue  # a kept connection had ended: our calls may all be made twice
            break
        if isinstance(reply, Broken):
            return Failed(path, reply.why, peer, 503)
        self.carried[f"{path} answered"] += len(reply.body)
        if link.fit:
            kept.append(link)
        if reply.status != 200:
            return Failed(path, reply.body.decode(errors="replace")[:200], peer, reply.status)
        try:
            return Done(read_json(reply.body, path, peer))
        except Wrong as wrong:
            return wrong.failed
