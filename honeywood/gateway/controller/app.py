"""The controller's ASGI application: one dispatch of machines', operators' and our own calls."""

import json
from collections import Counter
from dataclasses import replace
from urllib.parse import parse_qs

from honeywood.gateway.configuration import packing
from honeywood.gateway.configuration.check import need, read_json
from honeywood.gateway.configuration.model import Limits
from honeywood.gateway.configuration.reader import read_configuration
from honeywood.gateway.controller import machines
from honeywood.gateway.dissemination.messages import PollRequest
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.errors import GatewayError, NotFound, PayloadTooLarge
from honeywood.gateway.register.message_fields import PATH as REGISTER_PATH
from honeywood.gateway.rpc.asgi import read_body, send_response
from honeywood.gateway.rpc.request_context import CONTEXT
from honeywood.gateway.rpc.statuses import status_of

MOST = 8 << 20  # bytes of a call's body
JSON = [(b"content-type", b"application/json")]


class App:
    def __init__(self, controller):
        self.controller, self.refused = controller, Counter()  # refusals by step and status
        self.calls = {
            ("POST", "v1", "rpc", "instances.heartbeat"): self.heartbeat,
            ("POST", "v1", "rpc", "instances.leave"): self.leave,
            ("POST", "v1", "rpc", "config.replace"): self.replace,
            ("POST", "v1", "rpc", "config.read"): self.read,
            ("POST", "v1", "rpc", "rollouts.start"): self.start,
            ("POST", "v1", "rpc", "rollouts.read"): self.rollout,
        }
        self.ours = {("POST", "news"): self.news, ("POST", "register"): self.register}

    limits = Limits()  # callers here are machines, operators and our own programs

    def begin_early(self, scope):
        """Nothing is begun early: the calls of one connection are answered one after the other."""
        return None

    async def __call__(self, scope, receive, send):
        peer = scope["client"][0]
        asked = parse_qs(scope["query_string"].decode("latin-1"))
        named, of = (asked.get(key, [""])[0] for key in ("call", "of"))
        place = (scope["method"], *scope["path"].strip("/").split("/"))
        inside = scope["server"][1] == self.controller.settings.controller_port
        if scope["server"][1] == self.controller.metrics_port:
            return await self.controller.tell_figures(scope, send)
        call = self.ours.get(place) if inside else self.calls.get((*place, named))
        try:
            if call is None:
                raise NotFound("dispatch", f"no such call: {scope['method']} {scope['path']} {named}", peer)
            body = await read_body(receive, MOST)
            if body is None:
                raise PayloadTooLarge(named, "the body is too long or broken off", peer)
            # an order begins nothing for a caller that has gone, nor is it told what others wait for
            disconnect = scope[CONTEXT].disconnect
            clock = self.controller.clock
            heeds_disconnect = call in (self.start, self.news)
            more = {"left": lambda: disconnect.check(clock())} if heeds_disconnect else {}
            found = await call(of, body, peer, **more)
        except GatewayError as error:
            status = status_of(error)
            self.refused[f"refused: {named or error.operation} {status}"] += 1
            self.controller.say(
                "refused", 1.0, step=error.operation, peer=peer, why=error.reason, status=status
            )
            found = json.dumps({"step": error.operation, "peer": peer, "why": error.reason}).encode()
            return await send_response(send, status, JSON, found)
        if not isinstance(found, bytes):
            found = json.dumps(found, separators=(",", ":")).encode()
        await send_response(send, 200, JSON, found)

    # machines
    async def heartbeat(self, of, body, peer):
        stamp, value = machines.beat(of, read_json(body, machines.STEP, peer), peer)
        await self.controller.machine_loop.heartbeat(of, stamp, value)
        return {}

    async def leave(self, of, body, peer):
        machines.named("instances.leave", of, peer)
        await self.controller.machine_loop.leave(of)
        return {}

    # operators
    async def replace(self, of, body, peer):
        found, ver = await self.controller.orders.replace(read_configuration(body, peer).version, body, peer)
        return {"outcome": found, "ver": f"{ver:08x}"}

    async def read(self, of, body, peer):
        return packing.unpack(await self.controller.orders.configuration(peer), peer)

    async def start(self, of, body, peer, left=lambda: False):
        order = read_json(body, "rollouts.start", peer)
        svc, to_ver = (need(order, key, str, "rollouts.start") for key in ("svc", "to_ver"))
        over_s = need(order, "over_s", float, "rollouts.start", least=0.001)
        return self.told(await self.controller.orders.order(svc, to_ver, over_s, peer, left))

    async def rollout(self, of, body, peer):
        return self.told(await self.controller.orders.rollout(of, peer))

    @staticmethod
    def told(rollout):
        return {"state": rollout.state, "to_ver": rollout.version}

    # our own
    async def news(self, of, body, peer, left=lambda: False):
        poll = PollRequest.decode(read_json(body, PATH, peer), peer)
        response = await self.controller.publisher.serve(poll, left)
        return replace(response, **self.controller.beside(poll.requester)).encode()

    async def register(self, of, body, peer):
        return await self.controller.register_responder(read_json(body, REGISTER_PATH, peer), peer)
