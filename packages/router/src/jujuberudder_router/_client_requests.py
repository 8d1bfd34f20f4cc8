"""Requests of clients on this VM: route, choose a VM, forward, respond."""

import trio

from ._admission import OUTLASTS_NODE
from ._choice import choose, has_free_other
from ._frames import ANSWERED, NOT_RUN, ForwardRequest
from ._hedging import make_hedged_send
from ._http import HttpError
from ._keymap import locate
from ._peer_server import ROOM_RETRY_AFTER_S, ROOM_WAIT_SHARE
from ._routes import match_route
from ._server import leaf_exception
from ._types import Response

# Time until the deadline below which a request is not sent.
MIN_REMAINING_S = 0.02
# Part of a client's time-out that is reserved for sending the response to it.
RESPONSE_MARGIN_S = 0.01
# Polling interval while a request waits for the owner of its key to change.
OWNER_POLL_S = 0.05
# Maximum wait for a key that changes owners: a heartbeat interval and a store write.
OWNER_WAIT_S = 1.2
# Number of sends from which an owner named in a refusal is tried only after a pause. A
# VM that has just handed over a key knows the next owner; more hints than this come
# from two stale key maps that name each other.
MAX_OWNER_HINTS = 4
# Number of VMs of a service without keys that may refuse a request because of their
# queues before the client gets the refusal. The first two are the least loaded of
# three, the last one is any VM outside of the subset of this node, which may be full
# while others are not.
MAX_QUEUE_REFUSALS = 3
# Number of VMs that stop which are asked again when no other VM takes a request.
MAX_STOPPING_ASKED = 3
# Maximum share of the remaining time spent waiting for an owner, so that a refusal
# reaches the client in time.
OWNER_WAIT_SHARE = 0.5
# Retry-After of a refusal for which no admission queue gave an estimate.
RETRY_AFTER_S = 0.3
# Longest wait for memory of a request whose client states no time-out.
DEFAULT_ROOM_WAIT_S = 1.0
# Reason of a refusal while no target of a service may get requests.
ALL_EVACUATED = "all zones of the service are evacuated"
# Statuses of the router's own responses: after 502 and 504 the request may have run,
# 503 states that it has not run.
IN_DOUBT, NOT_SERVED, TIMED_OUT = 502, 503, 504


class RequestState:
    """State of one client request while it is being served.

    ``hold`` counts the bytes that the node holds for it. ``targets_reached`` counts the
    sends that may have reached a target. ``in_doubt`` is true while a send has no
    reply. ``refused`` contains the VMs to which a request of a service without keys is
    not sent again, ``owner_hint`` the owner named by the last refusal.
    ``queue_refusals`` counts the refusals because of a queue. ``fallback_response``
    belongs to an earlier send that ran or may have run; it is returned if no further
    target serves the request. ``stopping_vms`` maps VMs that refused it because their
    node stops to the time of its end; ``stopping_asked`` counts those that were asked
    again because no other VM takes it. ``hedged`` is true if it was sent to a second VM
    while the first one had not answered. ``route`` and ``service`` are None before they
    are known; ``returning`` states that the request is the return of a refused one.
    ``started`` is when it arrived, and ``goal_s`` the time in seconds that its latency
    goal leaves from then on, which counts from the first attempt of its client.
    ``may_return`` is whether the next VM may return
    the request because its target is slow, ``returned_by`` the VM that did so.
    """

    def __init__(self, hold=None):
        self.hold = hold
        self.sends = 0
        self.targets_reached = 0
        self.in_doubt = False
        self.fallback_response = None
        self.refused = set()
        self.owner_hint = ""
        self.reason = "no target is known"
        self.retry_after_s = RETRY_AFTER_S
        self.queue_refusals = 0
        self.stopping_vms = {}
        self.stopping_asked = 0
        self.hedged = False
        self.route = self.service = None
        self.returning = False
        self.started = self.goal_s = 0.0
        self.may_return, self.returned_by = False, None
        self.response = None


def cancel_reason(error):
    """Return why a request was cancelled, from the ``Cancelled`` that ended it."""
    error = leaf_exception(error)
    return getattr(error, "reason", None) or repr(error)


def make_body_admission(node):
    """Return ``admit(head) -> (wait_s, refuse)`` for requests that take memory.

    ``Server`` describes it.
    """

    def admit(head):
        request = node.adapter.parse_request(head)
        timeout_s = request.client_timeout_s
        wait_s = DEFAULT_ROOM_WAIT_S
        if timeout_s is not None:
            wait_s = ROOM_WAIT_SHARE * timeout_s

        def refuse(reason):
            node.metrics.count("own_503")
            node.metrics.count("memory_refusals")
            node.log(
                "request_not_received", id=request.id, reason=reason,
                held_bytes=node.account.used_bytes, waiting=node.account.waiting,
            )  # fmt: skip
            return node.adapter.router_response_headers(request.id, ROOM_RETRY_AFTER_S)

        return wait_s, refuse

    return admit


def make_run_ahead_check(node):
    """Return ``may_run_ahead(message)`` for pipelined requests, as for ``Server``.

    Parameters
    ----------
    node : Node
    """

    def may_run_ahead(message):
        if node.configuration is None:
            return False
        try:
            request = node.adapter.parse_request(message)
        except HttpError:
            return False  # Refused when it is its turn.
        route = match_route(node.configuration, request.host, request.path)
        return route is not None and route.retryable

    return may_run_ahead


def make_client_handler(node):
    """Return ``await handle(message) -> (status, headers, body)`` for clients.

    Parameters
    ----------
    node : Node
        State shared by the tasks of the node.
    """
    adapter, log, metrics = node.adapter, node.log, node.metrics

    async def handle(message):
        started = trio.current_time()
        try:
            request = adapter.parse_request(message)
        except HttpError as error:
            metrics.count("malformed")
            log("malformed", reason=str(error), status=error.status)
            return error.status, [], str(error).encode()
        state = RequestState(message.hold)
        try:
            response, route = await route_request(request, state, started)
        except (trio.Cancelled, BaseExceptionGroup) as error:
            # Other exceptions are answered by the server.
            if not isinstance(error, Exception):
                report_unanswered(request, state, started, cancel_reason(error))
            raise
        took_s = trio.current_time() - started
        metrics.observe("request", took_s, route.name if route else None)
        if response.status >= 500 or route is None:
            metrics.count("failed")
            log(
                "answered", id=request.id, route=route.name if route else "",
                status=response.status, reason=state.reason, sends=state.sends,
                config=node.config_version, took_s=took_s, stopping=node.stopping,
            )  # fmt: skip
        else:
            metrics.count("completed")
        return response.status, response.headers, response.body

    def report_unanswered(request, state, started, cause):
        metrics.count("unanswered")
        log(
            "unanswered", id=request.id, cause=cause, reason=state.reason,
            sends=state.sends, in_doubt=state.in_doubt, config=node.config_version,
            took_s=trio.current_time() - started,
        )  # fmt: skip

    async def route_request(request, state, started):
        if node.configuration is None:
            state.reason = "no configuration is known yet"
            return router_response(request, state, NOT_SERVED), None
        route = match_route(node.configuration, request.host, request.path)
        if route is None:
            state.reason = "no route"
            return router_response(request, state, 404), None
        service = node.splitter.pick(route)
        node.retry_budget.count_request(service, started)
        if not node.is_keyed(service):
            request = request._replace(key=None)
        state.route, state.service, state.started = route, service, started
        state.goal_s = route.latency_goal_s
        if node.entry_room is not None:
            first_started = node.entry_room.take_return(request, route, started)
            if first_started is not None:
                state.returning = True
                state.goal_s -= started - first_started
                state.goal_s = max(MIN_REMAINING_S, state.goal_s)
        remaining_s = route.timeout_s
        if request.client_timeout_s is not None:
            remaining_s = min(remaining_s, request.client_timeout_s)
        deadline = started + remaining_s
        if node.drain_deadline is not None and deadline > node.drain_deadline:
            state.reason = OUTLASTS_NODE
            return router_response(request, state, NOT_SERVED), route
        if refuse_unsent(request, route, service, state, remaining_s):
            return router_response(request, state, NOT_SERVED), route
        with trio.CancelScope(deadline=deadline - RESPONSE_MARGIN_S) as scope:
            node.active_scopes.add(scope)
            try:
                await send_until_answered(request, route, service, state, deadline)
            finally:
                node.active_scopes.discard(scope)
        if state.response is None:
            status = TIMED_OUT if state.in_doubt else NOT_SERVED
            state.response = router_response(request, state, status)
        return state.response, route

    def refuse_unsent(request, route, service, state, remaining_s):
        """Whether all reports state no room for a request, which is not a return."""
        if node.entry_room is None or state.returning or node.is_keyed(service):
            return False
        wait_s = node.entry_room.refusal_wait_s(request, route, service, remaining_s)
        if wait_s is None:
            return False
        state.reason = "all targets state that they have no room"
        state.retry_after_s = wait_s
        return True

    async def send_until_answered(request, route, service, state, deadline):
        started = trio.current_time()
        wait_until = started + min(
            OWNER_WAIT_S, OWNER_WAIT_SHARE * (deadline - started)
        )
        while state.response is None:
            now = trio.current_time()
            if deadline - now < MIN_REMAINING_S:
                return
            vm = choose_vm(request, route, service, state)
            if vm is not None:
                if send_hedged and route.retryable and not node.is_keyed(service):
                    vm, reply = await send_hedged(
                        request, route, service, state, vm, deadline
                    )
                else:
                    reply = await send_to_vm(
                        request, route, service, state, vm, deadline - now
                    )
                apply_reply(request, route, service, state, vm, reply)
                if state.response is not None or not node.is_keyed(service):
                    continue
                if state.owner_hint and state.sends < MAX_OWNER_HINTS:
                    continue
            elif node.evacuated(service):
                state.reason = ALL_EVACUATED
            elif request.key is not None:
                state.reason = node.owner_problem(service, request.key)
            if (
                not may_wait_for_owner(request, service)
                or trio.current_time() > wait_until
            ):
                state.response = router_response(request, state, NOT_SERVED)
                return
            await trio.sleep(OWNER_POLL_S)

    def may_wait_for_owner(request, service):
        if request.key is None or node.evacuated(service):
            return False
        return node.owner_may_change(service, request.key)

    def choose_vm(request, route, service, state):
        """Return the name of the VM to send the request to next, or None."""
        if node.is_keyed(service):
            return choose_owner(request, service, state)
        if state.queue_refusals >= MAX_QUEUE_REFUSALS:
            return choose_stopping_vm(state)
        other_vm = None
        if state.queue_refusals == MAX_QUEUE_REFUSALS - 1:
            other_vm = node.draw_other_vm(service, state.refused)
        if other_vm is None:
            candidates = node.candidates(service, state.refused, route.name)
            best = choose(candidates, len(request.body), node.jitter)
            other_vm = best.vm if best else None
            # Only the first VM may return it, so that it is returned once.
            state.may_return = (
                best is not None
                and not state.sends
                and has_free_other(candidates, best)
            )
        other_vm = other_vm or node.draw_other_vm(service, state.refused)
        return other_vm or choose_stopping_vm(state) or take_returning_vm(state)

    def take_returning_vm(state):
        """Return the VM that returned the request, once, or None."""
        vm, state.returned_by = state.returned_by, None
        return vm

    def may_ask_stopping(state):
        return bool(state.stopping_vms) and state.stopping_asked < MAX_STOPPING_ASKED

    def choose_stopping_vm(state):
        """Return the VM that stops last of those that refused because they stop.

        It takes the request if it can probably serve it, since no other VM does. None
        is asked so twice.
        """
        if not may_ask_stopping(state):
            return None
        state.stopping_asked += 1
        vm = max(state.stopping_vms, key=state.stopping_vms.get)
        del state.stopping_vms[vm]
        return vm

    def choose_owner(request, service, state):
        """Return the owner named by a refusal or by the key map, or None."""
        hint, state.owner_hint = state.owner_hint, ""
        if hint and node.accepts_requests(hint):
            return hint
        keymap = node.keymaps.get(service)
        if keymap is None or request.key is None:
            return None
        key_range = locate(keymap, request.key)
        return (
            key_range.vm
            if key_range is not None and node.accepts_requests(key_range.vm)
            else None
        )

    async def send_to_vm(request, route, service, state, vm, remaining_s):
        forward_request = ForwardRequest(
            0, request.id, request.method, request.target, request.headers,
            request.body, remaining_s - RESPONSE_MARGIN_S, state.goal_s,
            route.priority, request.key, node.settings.service, service, route.name,
            no_other_vm=state.stopping_asked > 0, returning=state.returning,
            may_return=state.may_return,
        )  # fmt: skip
        state.may_return = False
        if node.entry_room is not None:
            forward_request.caller_priority = node.entry_room.caller_priority
        state.sends += 1
        state.in_doubt = True
        state.reason = f"{vm} has not answered"
        if vm == node.settings.vm:
            reply = await node.serve(forward_request, state.hold)
        else:
            reply = await node.peers.forward(vm, forward_request, state.hold)
        state.in_doubt = False
        return reply

    def apply_reply(request, route, service, state, vm, reply):
        state.reason = reply.reason
        if node.entry_room is not None and reply.load is not None:
            node.entry_room.on_reply(route, reply)
        if reply.service_s and not node.is_keyed(service):
            node.speeds.record(service, vm, route.name, reply.service_s)
        if reply.reached_target or reply.outcome != NOT_RUN:
            state.targets_reached += 1
        if reply.outcome == ANSWERED:
            node.record_result(vm, reply.status < 500)
            response = Response(reply.status, reply.headers, reply.body)
            if reply.status < 500 or not may_retry(route, service, state, vm):
                state.response = response
            else:
                state.fallback_response = response
        elif reply.outcome == NOT_RUN:
            apply_not_run(request, route, service, state, vm, reply)
        else:
            node.record_result(vm, False)
            state.fallback_response = router_response(request, state, IN_DOUBT)
            if not may_retry(route, service, state, vm):
                state.response = state.fallback_response

    def apply_not_run(request, route, service, state, vm, reply):
        if reply.retry_after_s:
            state.retry_after_s = reply.retry_after_s
        state.refused.add(vm)
        if reply.returned:
            state.returned_by = vm
        state.owner_hint = reply.owner
        if reply.node_s > 0 and not state.stopping_asked:
            state.stopping_vms[vm] = trio.current_time() + reply.node_s
        if reply.reached_target and not try_count_retry(route, service, state):
            state.response = router_response(request, state, NOT_SERVED)
        elif reply.retry_after_s:
            state.queue_refusals += 1
            others_refused = state.queue_refusals >= MAX_QUEUE_REFUSALS
            if node.is_keyed(service) or others_refused and not may_ask_stopping(state):
                state.response = router_response(request, state, NOT_SERVED)

    def may_retry(route, service, state, vm):
        """Whether a request that may have run may be sent to another target.

        A permitted retry is counted, and ``vm`` is excluded from it.
        """
        if not route.retryable or node.is_keyed(service):
            return False
        if len(node.candidates(service)) < 2:
            return False
        state.refused.add(vm)
        return try_count_retry(route, service, state)

    def try_count_retry(route, service, state):
        """Count a retry if the route's attempts and the retry budget permit it."""
        if state.targets_reached >= max(1, route.attempts):
            return False
        now = trio.current_time()
        if not node.retry_budget.try_spend(service, len(node.vms), now):
            metrics.count("repeat_budget_spent")
            return False
        metrics.count("repeated")
        return True

    def router_response(request, state, status):
        if status == NOT_SERVED and state.fallback_response is not None:
            return state.fallback_response
        metrics.count(f"own_{status}")
        retry_after_s = state.retry_after_s if status == NOT_SERVED else None
        if status == NOT_SERVED and state.route and node.entry_room is not None:
            retry_after_s = node.entry_room.on_refused(
                request, state.route, state.service, state.returning,
                node.is_keyed(state.service), retry_after_s, state.started,
            )  # fmt: skip
        headers = adapter.router_response_headers(request.id, retry_after_s)
        return Response(status, headers, state.reason.encode())

    send_hedged = None
    if node.hedging is not None:
        send_hedged = make_hedged_send(node, send_to_vm, try_count_retry)
    return handle
