"""The target beside this node: its life, what it holds, and requests sent to it."""

from typing import NamedTuple

import trio

from ._admission import Refused
from ._connection_pool import ConnectionPool
from ._frames import ANSWERED, NOT_RUN, UNKNOWN, ForwardReply
from ._http import ExchangeError, request_bytes

# Wait for a connection to the target on the same VM; an accept queue that is full
# answers after a second at the earliest.
CONNECT_S = 1.0
# Seconds after which unacknowledged bytes end a connection on the same VM.
USER_TIMEOUT_S = 3.0
# Seconds without a beat before a target is taken to be lost: about as long as a grant
# holds, and three beats.
SILENT_S = 2.6


class ResponseCheck(NamedTuple):
    """How an adapter reads a target's response.

    ``not_run`` is what the target itself states; ``invalid_reason`` a reason why the
    response is none to this request, or none at all; ``load`` (running, waiting,
    slots).
    """

    not_run: bool
    invalid_reason: str | None
    load: tuple | None


class Target:
    """State of the target beside the node.

    Parameters
    ----------
    address : str
    """

    def __init__(self, address):
        self.pool = ConnectionPool(address, CONNECT_S, USER_TIMEOUT_S)
        self.id = ""
        self.started_ms = -1
        self.sequence = -1
        self.slots = 0
        self.leaving = False
        self.heartbeat_at = None
        self._granted = ()
        self._hold_ends = self._grant_expiry = 0.0

    @property
    def incarnation(self):
        """Name of this life of the target; empty while none is known."""
        return f"{self.id}@{self.started_ms}" if self.id else ""

    @property
    def grant_expiry(self):
        """When the last grant has surely run out, on the node's clock (s)."""
        return self._grant_expiry

    def is_silent(self, now):
        """Whether beats have been missing for long."""
        return self.heartbeat_at is None or now - self.heartbeat_at > SILENT_S

    def apply_heartbeat(self, beat, now):
        """Note a beat.

        Returns
        -------
        news : str
            ``"old"`` (of an earlier life or late), ``"life"`` (a new one) or ``""``.
        """
        if beat.started_ms < self.started_ms:
            return "old"
        news = ""
        if (beat.target, beat.started_ms) != (self.id, self.started_ms):
            news = "life"
            self.id, self.started_ms, self.sequence = beat.target, beat.started_ms, -1
            self.leaving = False
            self._granted = ()
            self.pool.close()
        if beat.sequence < self.sequence:
            return "old"
        self.sequence = beat.sequence
        self.heartbeat_at = now
        self.slots = beat.slots
        self.leaving = self.leaving or beat.leaving
        return news

    def apply_grant(self, rows, ttl_s, drift, now):
        """Note what the answer to a beat grants."""
        self._granted = tuple((row.start, row.end) for row in rows)
        self._hold_ends = now + ttl_s
        self._grant_expiry = now + ttl_s * drift

    def holds(self, key, now):
        """Whether the target holds a key (None: the request has no key)."""
        if key is None:
            return True
        if not self._granted or now > self._hold_ends:
            return False
        return any(start <= key <= end for start, end in self._granted)


def make_target_handler(target, admission, adapter, serve_refusal, log, metrics):
    """Return ``await serve(ask) -> ForwardReply``, which runs requests at the target.

    Parameters
    ----------
    target : Target
    admission : AdmissionQueue
    adapter : Adapter
        The adapter's reading and writing of headers.
    serve_refusal : callable
        ``serve_refusal(service, key) -> (reason, owner) or None``: why this node may
        not serve a request, and the VM that may.
    log : callable
    metrics : Metrics
    """

    async def serve(ask):
        arrived = trio.current_time()
        deadline = arrived + ask.remaining_s
        try:
            reply = await attempt(ask, deadline)
        except Refused as refused:
            metrics.count("refused_at_gate")
            log(
                "refused", id=ask.request_id, route=ask.route, reason=refused.reason,
                running=admission.running, waited_s=trio.current_time() - arrived,
                retry_after_s=refused.retry_after_s,
            )  # fmt: skip
            reply = ForwardReply(
                ask.id, NOT_RUN, reason=refused.reason,
                retry_after_s=refused.retry_after_s,
            )  # fmt: skip
        reply.load = admission.load()
        return reply

    async def attempt(ask, deadline):
        elsewhere = serve_refusal(ask.service, ask.key)
        if elsewhere:
            reason, owner = elsewhere
            return ForwardReply(ask.id, NOT_RUN, reason=reason, owner=owner)
        arrived = trio.current_time()
        await admission.acquire(ask, arrived)
        started = trio.current_time()
        metrics.observe("gate_wait", started - arrived)
        took = None
        try:
            reply = await send(ask, deadline - started)
            if reply.outcome == ANSWERED:
                took = trio.current_time() - started
                metrics.observe("target", took)
        finally:
            admission.release(ask, took)
        return reply

    async def send(ask, remaining_s):
        headers = adapter.target_request_headers(ask, remaining_s, target.id)
        data = request_bytes(ask.method, ask.target, headers, ask.body)
        checked = None

        def check(response):
            nonlocal checked
            checked = adapter.check_response(response, ask.request_id)
            return checked.invalid_reason

        incarnation = target.incarnation
        try:
            response = await target.pool.exchange(data, "send to target", check)
        except ExchangeError as error:
            failure = error.failure
            metrics.count("target_failures")
            log(
                "target_failed", id=ask.request_id, target=incarnation,
                reason=str(failure), maybe_run=failure.may_have_run,
            )  # fmt: skip
            if not failure.may_have_run:
                # No process listens, or it takes no more; its next beat opens the gate.
                admission.close("the target takes no connections")
            outcome = UNKNOWN if failure.may_have_run else NOT_RUN
            return ForwardReply(ask.id, outcome, reason=str(failure))
        if checked.load is not None:
            admission.record_target_load(*checked.load, trio.current_time())
        if checked.not_run:
            metrics.count("target_refusals")
            log(
                "target_refused", id=ask.request_id, target=incarnation,
                status=response.status,
            )  # fmt: skip
            reason = f"the target refused with {response.status}"
            admission.record_target_shed(trio.current_time())
            return ForwardReply(ask.id, NOT_RUN, reason=reason, reached_target=True)
        return ForwardReply(
            ask.id, ANSWERED, response.status,
            adapter.client_response_headers(response.headers), response.body,
        )  # fmt: skip

    return serve
