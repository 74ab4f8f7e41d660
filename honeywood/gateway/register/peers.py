"""Calls of the members' disks, this one among them: requests out, typed replies back."""

import asyncio

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.register.fields import PATH
from honeywood.gateway.register.outcome import Done, failed_by
from honeywood.gateway.register.replies import Fenced
from honeywood.gateway.register.requests import Told, decode_reply, encode_request

STEP_S = 0.8  # seconds a peer has for one step
REFUSED_S = 0.1  # seconds that a ballot waits for further answers after one disk has refused it


class Peers:
    """The way to the others. `epochs` says which configuration this disk goes by, `serve` is its own side."""

    def __init__(self, settings, caller, epochs, serve):
        self.settings, self.caller, self.epochs, self.serve = settings, caller, epochs, serve

    async def call(self, ip, request, within=STEP_S):
        """Done with the reply, or Failed."""
        try:
            if ip == self.settings.ip:
                return Done(await self.serve(request, ip))
            body, port = encode_request(request), self.settings.controller_port
            reply = await self.caller.call(ip, port, PATH, body, within, idempotent=True)
            return Done(decode_reply(request, reply, ip))
        except GatewayError as error:
            return failed_by(error)

    async def ask_all(self, ips, request, take, within=STEP_S, call=None, most=None):
        """Asks all of `ips` at once until `take` says that it is enough, for `most` seconds at the most where
        that is given; whether it did. Who is in another epoch is taken for no answer; the one that is behind
        is told. `call(ip, request)` makes the calls where they take more than one step each."""
        epoch, loop = self.epochs.epoch, asyncio.get_running_loop()
        call = call or (lambda ip, request: self.call(ip, request, within))
        until = None if most is None else loop.time() + most
        asked = {asyncio.ensure_future(call(ip, request)): ip for ip in ips}
        tasks, refused = set(asked), False
        while tasks:
            left = None if until is None else max(0.0, until - loop.time())
            if refused:  # the silent are waited for no longer than this
                left = REFUSED_S if left is None else min(left, REFUSED_S)
            done, tasks = await asyncio.wait(tasks, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                return False
            for task in done:
                reply = task.result()
                if not reply.ok:
                    continue
                if isinstance(reply.value, Fenced):
                    self._fenced(asked[task], reply.value.configuration, epoch)
                    continue
                refused = refused or getattr(reply.value, "ok", True) is False
                if take(asked[task], reply.value):
                    return True
        return False

    def _fenced(self, ip, configuration, epoch):
        self.epochs.note(configuration)
        if configuration["epoch"] < epoch:
            self.tell([ip])

    def tell(self, ips):
        """Sends this disk's configuration to whoever may not know it; nothing rests on its arrival."""
        told = Told(self.epochs.newest)
        for ip in {*ips} - {self.settings.ip}:
            asyncio.ensure_future(self.call(ip, told))
