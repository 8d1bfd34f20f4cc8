"""The target beside this node: its incarnation, granted keys and requests to it."""

import math
from typing import NamedTuple

import trio

from ._admission import EVACUATED, Refused
from ._cold_rate import LONG_BODY_BYTES
from ._connection_pool import ConnectionPool
from ._frames import ANSWERED, NOT_RUN, UNKNOWN, ForwardReply
from ._held_keys import HeldKeys
from ._http import MAX_RESPONSE_BODY_BYTES, ExchangeError, request_head
from ._link_pacing import LinkPacer, ResponseLengths, link_refusal
from ._rate_limit import RateLimit

# Time-out of a connection attempt to the target on the same VM. A target whose accept
# queue is full accepts the connection after 1 s at the earliest.
CONNECT_TIMEOUT_S = 1.0
# Time after which unacknowledged bytes end a connection on the same VM.
USER_TIMEOUT_S = 3.0
# Time without a heartbeat after which a target counts as failed: about the validity of
# a grant, and three heartbeats.
HEARTBEAT_TIMEOUT_S = 2.6
# Greatest step of a VM's time of day, in seconds. The target reads it when it starts,
# and the platform states that it jumps by seconds.
CLOCK_STEP_S = 10.0
# Heartbeats that a target has sent at most: per second since its start, ten times those
# after a release, and in all before, as the time of day may have jumped.
SEQUENCE_RATE, SEQUENCE_SLACK = 100.0, 1000
# Time after a request's deadline at which its exchange with the target ends. The node
# that sent the request cancels it at the deadline, unless that node was lost.
DEADLINE_MARGIN_S = 0.3


class TargetLoad(NamedTuple):
    """Load that a target states in a response.

    ``work_time_factor`` is how long work takes on its machine at that moment, as a
    multiple of the usual time; targets share machines with others.
    """

    running: int
    waiting: int
    slots: int
    work_time_factor: float = 1.0


class ResponseCheck(NamedTuple):
    """Result of an adapter's check of a target's response.

    ``not_run`` is true if the target states that it did not run the request.
    ``invalid_reason`` is why the response is malformed or belongs to another request,
    or None. ``load`` is a ``TargetLoad`` or None. ``rate_limit`` is None if
    the response does not tell whether the target limits its rate. ``leaving`` is true
    if the target states that it is about to stop, ``key_not_held`` if it states that it
    does not hold the request's key.
    """

    not_run: bool
    invalid_reason: str | None
    load: TargetLoad | None
    rate_limit: RateLimit | None = None
    leaving: bool = False
    key_not_held: bool = False


def find_mismatch(heartbeat, settings, unix_time_s):
    """Return why a heartbeat is not one of the target beside this node, or None.

    Parameters
    ----------
    heartbeat : Heartbeat
    settings : Settings
    unix_time_s : float
        Time of day in seconds.
    """
    for name, stated, own in (
        ("service", heartbeat.service, settings.service),
        ("zone", heartbeat.zone, settings.zone),
        ("address", heartbeat.address, settings.target_address),
    ):
        if stated != own:
            return f"its {name} is {stated!r}, not {own!r}"
    if not is_plausible_start(heartbeat.started_ms, unix_time_s):
        return f"its start is {heartbeat.started_ms} ms, later than now"
    age_s = max(0.0, unix_time_s - heartbeat.started_ms / 1000)
    if heartbeat.sequence > SEQUENCE_SLACK + SEQUENCE_RATE * age_s:
        return f"its sequence number is {heartbeat.sequence} after {age_s:.1f} s"
    return None


def is_plausible_start(started_ms, unix_time_s):
    """Whether a target may have started at a Unix time in ms, as far as clocks tell."""
    return started_ms / 1000 <= unix_time_s + CLOCK_STEP_S


class Target:
    """State of the target beside the node.

    Parameters
    ----------
    address : str

    Attributes
    ----------
    id, started_ms : str, int
        Id, and Unix time of the start in ms; the id is empty until the first heartbeat
        or deregistration.
    sequence : int
        Sequence number of the last heartbeat.
    heartbeat_at : float or None
        Time of the last heartbeat on the node's clock, in seconds.
    leaving : bool
        Whether the target announced that it is about to stop.
    leaving_binds : bool
        Whether it may count on that: the store has it, or a client has received the
        response that states it.
    evacuated : bool
        Whether the availability zone of the target is evacuated.
    held : HeldKeys
        Keys that this node has granted to the target.
    """

    def __init__(self, address):
        self.pool = ConnectionPool(
            address, CONNECT_TIMEOUT_S, USER_TIMEOUT_S, MAX_RESPONSE_BODY_BYTES
        )
        self.id = ""
        self.started_ms = -1
        self.sequence = -1
        self.slots = 0
        self.leaving = self.leaving_binds = self.evacuated = False
        self.heartbeat_at = None
        self.held = HeldKeys()

    @property
    def incarnation(self):
        """Name of the target's incarnation; empty while no target is known."""
        return f"{self.id}@{self.started_ms}" if self.id else ""

    @property
    def gives_up_keys(self):
        """Whether all keys leave the target.

        Other VMs get them by a change in the store. A target that is leaving keeps
        them while the store does not take even its announcement.
        """
        return self.leaving_binds or self.evacuated

    def heartbeat_overdue(self, now):
        """Whether no heartbeat has arrived for ``HEARTBEAT_TIMEOUT_S``."""
        return (
            self.heartbeat_at is None or now - self.heartbeat_at > HEARTBEAT_TIMEOUT_S
        )

    def apply_heartbeat(self, heartbeat, now):
        """Apply a heartbeat to the state.

        Returns
        -------
        change : str
            ``"old"`` if the heartbeat is late or of an earlier incarnation and is
            ignored, ``"life"`` if it is the first of a new incarnation, else ``""``.
        """
        if heartbeat.started_ms < self.started_ms:
            return "old"
        change = ""
        if (heartbeat.target, heartbeat.started_ms) != (self.id, self.started_ms):
            change = "life"
            self._begin_incarnation(heartbeat.target, heartbeat.started_ms)
        # A sequence number that the target has not reached yet is not its own. Its
        # grants have ended by the time when its heartbeats count as overdue, so that
        # ranges in a late one are no longer held.
        if heartbeat.sequence < self.sequence and not self.heartbeat_overdue(now):
            return "old"
        self.sequence = heartbeat.sequence
        self.heartbeat_at = now
        self.slots = heartbeat.slots
        self.leaving = self.leaving or heartbeat.leaving
        return change

    def apply_deregistration(self, target_id, started_ms):
        """Mark an incarnation as leaving, also one that has sent no heartbeat yet.

        Its heartbeats may arrive later than this call, above all at a new process of
        the node.

        Parameters
        ----------
        target_id : str
        started_ms : int or None
            Unix time of its start in ms; None if it is not known.

        Returns
        -------
        applied : bool
            False if the call is of an earlier incarnation, or of one that neither a
            heartbeat nor its start identifies.
        """
        if started_ms is None:
            if target_id != self.id:
                return False
        elif started_ms < self.started_ms:
            return False
        elif (target_id, started_ms) != (self.id, self.started_ms):
            self._begin_incarnation(target_id, started_ms)
        self.leaving = True
        return True

    def _begin_incarnation(self, target_id, started_ms):
        if self.id:
            self.held.reset()
        self.id, self.started_ms, self.sequence = target_id, started_ms, -1
        self.heartbeat_at = None
        self.leaving = self.leaving_binds = False
        self.pool.close()


def make_target_handler(
    target, admission, adapter, serve_refusal, on_leaving, on_keys_not_held, log,
    metrics, pacer=None,
):  # fmt: skip
    """Return ``await serve(request, hold) -> ForwardReply``, for the target.

    ``hold`` counts the bytes of the request and those of a long response.

    Parameters
    ----------
    target : Target
    admission : AdmissionQueue
    adapter : Adapter
        Encodes the request headers and checks the responses.
    serve_refusal : callable
        ``serve_refusal(service, key) -> (reason, owner) or None``: the reason to refuse
        a request at this node, and the VM that may serve it.
    on_leaving : callable
        ``on_leaving(request_id)`` is called when the target's response to a request
        states that it is about to stop.
    on_keys_not_held : callable
        ``on_keys_not_held()`` is called when the target states that it does not hold
        keys that it was granted.
    log : callable
    metrics : Metrics
    pacer : LinkPacer, default=None
        Sends long responses to other nodes.
    """
    lengths, pacer = ResponseLengths(), pacer or LinkPacer(math.inf)

    async def serve(request, hold):
        arrived_at = trio.current_time()
        deadline = arrived_at + request.remaining_s
        try:
            reply = await run_at_target(request, deadline, hold)
        except Refused as refused:
            metrics.count("refused_at_gate")
            log(
                "refused", id=request.request_id, route=request.route,
                reason=refused.reason, running=admission.running,
                waited_s=trio.current_time() - arrived_at,
                retry_after_s=refused.retry_after_s,
            )  # fmt: skip
            # The key may have moved while the request waited.
            _, owner = serve_refusal(request.service, request.key) or ("", "")
            reply = ForwardReply(
                request.id, NOT_RUN, reason=refused.reason,
                retry_after_s=refused.retry_after_s, owner=owner,
                node_s=refused.node_s,
            )  # fmt: skip
        if reply.outcome == NOT_RUN and reply.reason == EVACUATED:
            metrics.count("refused_evacuated")
        reply.load = admission.load()
        if admission.room is not None:
            reply.called = admission.room.is_called(request.route)
        reply.service_s = admission.route_service_s(request.route)
        return reply

    async def run_at_target(request, deadline, hold):
        refusal = serve_refusal(request.service, request.key)
        if refusal:
            reason, owner = refusal
            return ForwardReply(request.id, NOT_RUN, reason=reason, owner=owner)
        expected_bytes = 0
        # The response to a request of this node does not pass over the link.
        if pacer.paced and request.id:
            expected_bytes = lengths.mean(request.route)
            if expected_bytes > pacer.part_bytes:
                check_link(request, expected_bytes)
        with pacer.expect(expected_bytes):
            return await run_in_slot(request, deadline, hold)

    def check_link(request, expected_bytes):
        """Raise ``Refused`` if the link has no room for a response in time."""
        retry_after_s = link_refusal(
            admission.expected_service_s(request),
            pacer.body_wait_s(trio.current_time()),
            pacer.send_s(expected_bytes),
            request.latency_goal_s,
            request.remaining_s,
        )
        if retry_after_s is not None:
            metrics.count("refused_for_link")
            raise Refused("the network link has no room", retry_after_s)

    async def run_in_slot(request, deadline, hold):
        arrived_at = trio.current_time()
        if admission.returns(request, arrived_at):
            return return_request(request, arrived_at)
        await admission.acquire(request, arrived_at)
        started_at = trio.current_time()
        metrics.observe("gate_wait", started_at - arrived_at, request.route)
        took_s, sends = None, []
        reply = ForwardReply(request.id, UNKNOWN, reason="no answer by the deadline")
        try:
            with trio.move_on_at(deadline + DEADLINE_MARGIN_S):
                reply = await send_to_target(
                    request, deadline - started_at, hold, sends
                )
            if reply.outcome == ANSWERED:
                took_s = trio.current_time() - started_at
                metrics.observe("target", took_s, request.route)
        except trio.Cancelled as cancelled:
            if admission.drain_deadline is not None:
                log(
                    "run_cut", id=request.request_id, route=request.route,
                    ran_s=trio.current_time() - started_at, reason=cancelled.reason,
                )  # fmt: skip
            raise
        finally:
            if sends and len(request.body) > LONG_BODY_BYTES:
                admission.count_send()
            admission.release(request, took_s, bool(sends))
        return reply

    def return_request(request, now):
        """Return a request that another target serves sooner than this slow one."""
        metrics.count("returned_by_slow_target")
        factor = admission.work_time.factor(now)
        if admission.work_time.may_log(now):
            log(
                "target_slow", id=request.request_id, target=target.incarnation,
                factor=factor, running=admission.running,
            )  # fmt: skip
        return ForwardReply(
            request.id, NOT_RUN, returned=True,
            reason=f"work takes {factor:.1f} times as long as usual",
        )  # fmt: skip

    async def send_to_target(request, remaining_s, hold, sends):
        headers = adapter.target_request_headers(request, remaining_s, target.id)
        head = request_head(request.method, request.target, headers, len(request.body))
        result = None

        def check(response):
            nonlocal result
            result = adapter.check_response(response, request.request_id)
            return result.invalid_reason

        def start_send():
            # To connect may have taken a while.
            admission.check_send()
            sends.append(trio.current_time())
            if len(request.body) <= LONG_BODY_BYTES:
                admission.count_send()
            return head

        incarnation, sent_at = target.incarnation, trio.current_time()
        try:
            response = await target.pool.exchange(
                start_send, "send to target", check, body=request.body, hold=hold
            )
        except ExchangeError as error:
            failure = error.failure
            metrics.count("target_failures")
            log(
                "target_failed", id=request.request_id, target=incarnation,
                reason=str(failure), maybe_run=failure.may_have_run,
            )  # fmt: skip
            if not failure.may_have_run:
                # No process listens, or its accept queue is full. The next heartbeat
                # opens the admission queue again.
                admission.close("the target takes no connections")
            outcome = UNKNOWN if failure.may_have_run else NOT_RUN
            return ForwardReply(request.id, outcome, reason=str(failure))
        # A response of an earlier start says nothing about the present one.
        if incarnation == target.incarnation:
            if result.rate_limit is not None:
                record_rate_limit(result.rate_limit, sent_at, request.request_id)
            if result.leaving and not target.leaving_binds:
                on_leaving(request.request_id)
        if result.load is not None:
            admission.record_target_load(result.load, trio.current_time())
        if result.not_run:
            metrics.count("target_refusals")
            log(
                "target_refused", id=request.request_id, target=incarnation,
                status=response.status,
            )  # fmt: skip
            reason = f"the target refused with {response.status}"
            if result.key_not_held and request.key is not None:
                if incarnation == target.incarnation:
                    disown(request)
            else:
                admission.record_target_shed(trio.current_time(), result.load)
            return ForwardReply(request.id, NOT_RUN, reason=reason, reached_target=True)
        if pacer.paced:
            lengths.record(request.route, len(response.body))
        if request.key is not None:
            target.held.trust(request.key)
        return ForwardReply(
            request.id, ANSWERED, response.status,
            adapter.client_response_headers(response.headers), response.body,
        )  # fmt: skip

    def disown(request):
        """Stop to use the grant of a key that the target states not to hold."""
        now = trio.current_time()
        for start, end in target.held.disown(request.key, now):
            metrics.count("grants_disowned")
            log(
                "keys_not_held", id=request.request_id, target=target.incarnation,
                start=start, end=end, key=request.key,
                again_in_s=target.held.distrusted_s(request.key, now),
            )  # fmt: skip
            admission.refuse_distrusted()
            on_keys_not_held()

    def record_rate_limit(rate_limit, sent_at, request_id):
        rate = admission.rate_limiter
        previous = rate.limit
        rate.record(rate_limit, sent_at, trio.current_time())
        if rate.limit != previous:
            log(
                "target_rate_limit", id=request_id, target=target.incarnation,
                limit=rate.limit, previous=previous,
            )  # fmt: skip

    return serve
