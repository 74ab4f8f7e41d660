"""A request's way: to an endpoint, to another where that may be, and back as one answer."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from honeywood.gateway.proxy.responses import (
    BAD_GATEWAY,
    BAD_REQUEST,
    GATEWAY_TIMEOUT,
    RETRY_AFTER_S,
    UNAVAILABLE,
    own_response,
    relayed,
)
from honeywood.gateway.proxy.sender import AttemptSender, Outgoing
from honeywood.gateway.routing.pending_request import PendingRequest
from honeywood.gateway.routing.load_balancer import choose_endpoint
from honeywood.gateway.routing.outcomes import FIRST_FAILURE, AttemptOutcome
from honeywood.gateway.routing.route_table import choose_service
from honeywood.gateway.routing.admission import ADMITTED_WITHOUT_TENANTS, Admission
from honeywood.gateway.rpc.connection import end_to_end
from honeywood.gateway.rpc.departure import ClientDeparture

HEDGE_AFTER = 2.0  # typical latencies after which a repeatable request goes to a second endpoint as well
HEDGE_LEAST_S = 0.05  # seconds
ANSWER_EARLY_S = 0.004  # seconds before its client gives up that a request is answered by us
NO_DEADLINE_MS = b"86400000"
OWN_HEADERS = (b"x-deadline-ms", b"x-want-instance", b"content-length", b"expect")  # written anew, or ours
BODILESS = (b"GET", b"HEAD")


@dataclass(slots=True)
class ClientRequest:
    """A whole request of a client: `target` with its raw escapes, `fields` a value of each header.
    `departure` tells of its client's leaving; `received_at` when it was whole, if that was before it is
    forwarded; `admission` says for which tenant."""

    method: bytes
    target: bytes
    headers: list
    fields: dict
    body: bytes
    departure: ClientDeparture = field(default_factory=ClientDeparture)
    received_at: float | None = None
    admission: Admission = ADMITTED_WITHOUT_TENANTS

    def outgoing(self):
        """As endpoints get it: without what concerns this connection or is written anew."""
        headers = [one for one in end_to_end(self.headers) if one[0] not in OWN_HEADERS]
        headers = self.admission.forwarded_headers(headers)
        if self.body or self.method not in BODILESS:
            headers.append((b"content-length", str(len(self.body)).encode()))
        else:
            headers.append((b"accept-encoding", b"identity"))
        return Outgoing(self.method, self.target, headers, self.body)


class Forwarder:
    """Forwards requests. Its parts are handed in: the program's state, its attempt policy and its pool."""

    def __init__(self, clock, random, zone, endpoints, policy, stage, pool, budget_of, on_attempt):
        """`zone` is the own one; `budget_of` gives a service's RetryBudget; `on_attempt` is told of a request
        whose next attempt begins."""
        self.clock, self.random, self.zone, self.endpoints = clock, random, zone, endpoints
        self.policy, self.stage, self.budget_of = policy, stage, budget_of
        self.counts = Counter()  # since the start: requests, retries, answers by status, why none was free
        self.open_requests: set[PendingRequest] = set()
        self.sender = AttemptSender(
            clock, endpoints, policy, stage, pool, self.counts, self._unsubscribe, on_attempt
        )

    async def forward(self, route, client_request):
        """The ClientResponse to a request on `route`."""
        try:
            told_ms = int(client_request.fields.get(b"x-deadline-ms", NO_DEADLINE_MS))
        except ValueError:
            return own_response(BAD_REQUEST, "x-deadline-ms is no number")
        request = self._take(route, client_request, min(route.timeout, told_ms / 1000))
        self.open_requests.add(request)
        request.on_departure = partial(self._client_left, request)
        request.departure.subscribe(request.on_departure)
        try:
            response = await self._race(request, client_request.outgoing())
        finally:
            request.finished = True
            self.open_requests.discard(request)
            self._unsubscribe(request)
        self._count(request, response)
        return response

    def _client_left(self, request):
        """The client of a request has left: what may be repeated is ended, also an attempt beside the one
        whose answer was taken. What may not be repeated is finished: whoever asked may rely on it."""
        if not request.finished:
            kind, stage = request.route.kind, self.sender.stage_of(request)
            self.counts[f"client left: {kind} {stage}"] += 1
        if request.route.safe:
            self.sender.abandon(request)

    def _unsubscribe(self, request):
        """Nothing of a request that is finished and has no attempts under way depends on its client."""
        if request.finished and request not in self.sender.flights:
            request.departure.unsubscribe(request.on_departure)

    def _take(self, route, client_request, wait_s):
        """The PendingRequest, which earns its service's budget and its version's trial their parts."""
        now, received_at = self.clock(), client_request.received_at
        received_at = now if received_at is None else received_at
        service = choose_service(route.split, self.random.random())
        try_id, deadline = client_request.fields.get(b"x-try-id", b""), received_at + wait_s
        request = PendingRequest(route, service, try_id, received_at, deadline, priority=route.priority)
        request.departure = client_request.departure
        tenant = client_request.admission.tenant
        if tenant is not None and tenant.priority is not None:
            request.priority = tenant.priority
        self.budget_of(service).record_request(now)
        self.stage.taking(request)
        return request

    def _count(self, request, response):
        self.counts["requests"] += 1
        if request.departure.gone:
            return
        if response.status < FIRST_FAILURE:
            late = self.clock() - request.received_at > request.route.target
            self.counts["served late" if late else "served in time"] += 1
        self.counts["further sends"] += max(0, len(request.attempts) - 1)
        self.counts[f"answered {response.status}"] += 1

    async def _race(self, request, outgoing):
        """The answer of whichever attempt succeeds first; one is begun after the other, and for repeatable
        requests beside one that is slow."""
        failure, running = None, set()
        while True:
            endpoint = self._choose(request)
            if endpoint is not None:
                running.add(self.sender.start(request, endpoint, outgoing))
            if not running:
                return self._give_up(request, failure)
            wait_s, is_hedge = self._patience(request, len(running))
            done, running = await asyncio.wait(running, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                result = task.result()
                if result.continued is not None:  # a repeatable request goes elsewhere meanwhile
                    running.add(result.continued)
                elif is_final(request, result):
                    return relayed(result.reply)
                elif result.outcome is AttemptOutcome.FAILURE:
                    failure = result.reply
            if not done and (not is_hedge or self._is_time_up(request)):
                return self._time_up(request)

    def _patience(self, request, running):
        """(seconds to wait for the attempts that are running, whether another may begin beside them then)."""
        now, until = self.clock(), request.deadline - ANSWER_EARLY_S
        hedge_s = max(HEDGE_LEAST_S, HEDGE_AFTER * self.endpoints.typical_latency(request.service))
        may_hedge = request.route.safe and running == 1 and request.route.tries > 1
        is_hedge = may_hedge and now + hedge_s < until
        return (hedge_s if is_hedge else max(0, until - now)), is_hedge

    def _is_time_up(self, request):
        return self.clock() >= request.deadline - ANSWER_EARLY_S

    def _choose(self, request):
        """The endpoint for an attempt now, or None."""
        now, service = self.clock(), request.service
        typical_s = self.endpoints.typical_latency(service)
        for group in self.stage.groups(now, request, self.endpoints.of(service)):
            fit = self.policy.eligible(now, request, group)
            attempted = request.attempted_endpoints
            endpoint = choose_endpoint(now, fit, self.zone, attempted, typical_s, self.random)
            if endpoint is not None:
                return endpoint
        return None

    def _time_up(self, request):
        """Nothing of the request is sent from here on, so what no endpoint got is promised not to run."""
        request.finished = True
        if request.may_have_run:
            return own_response(GATEWAY_TIMEOUT, "time is up")
        return own_response(UNAVAILABLE, "no machine in time", RETRY_AFTER_S)

    def _give_up(self, request, failure):
        """The final answer where no endpoint may be asked any more."""
        if request.departure.gone:
            return own_response(BAD_GATEWAY, "its client has left")  # nobody reads it
        if failure is not None:
            return relayed(failure)
        if self._is_time_up(request):
            return self._time_up(request)
        if request.may_have_run:
            return own_response(BAD_GATEWAY, "no whole answer came")
        reason = self._commonest_refusal(request)
        self.counts[f"no machine: {reason}"] += 1
        self.counts[f"no machine, priority {request.priority}"] += 1
        return own_response(UNAVAILABLE, f"no machine free: {reason}", RETRY_AFTER_S)

    def _commonest_refusal(self, request):
        """What kept the request from most of its service's endpoints."""
        now, endpoints = self.clock(), self.endpoints.of(request.service)
        refusals = Counter(self.policy.rejection(now, request, one) or "left alone" for one in endpoints)
        return str(refusals.most_common(1)[0][0]) if refusals else "none known"


def is_final(request, result):
    """Whether an attempt's answer is the request's: a success, or what can't be tried again."""
    if result.outcome is AttemptOutcome.SUCCESS:
        return True
    return result.outcome is AttemptOutcome.FAILURE and not request.route.safe
