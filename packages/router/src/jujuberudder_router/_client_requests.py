"""Requests of callers on this VM: route, choose a VM, ask it, answer truthfully."""

import trio

from ._admission import OUTLASTS_NODE
from ._choice import choose
from ._frames import ANSWERED, NOT_RUN, ForwardRequest
from ._http import HttpError
from ._keymap import locate
from ._routes import match_route
from ._types import Response

# Time that a request must have left to be worth sending, in seconds.
LEAST_LEFT_S = 0.02
# Time kept back from what a caller waits, for the answer's way to it, in seconds.
RETURN_S = 0.01
# Wait for the owners of a key to change before the next look, in seconds.
OWNER_PAUSE_S = 0.05
# Longest wait for a key between two owners: a beat interval and a write to the store.
OWNER_WAIT_S = 1.2
# Owners named by others that are asked without a pause: one that just gave a key away
# knows the next; more than that are two old maps that name each other.
OWNER_HINTS = 4
# The most of the time left that is spent on that, so that a refusal is not too late.
OWNER_SHARE = 0.5
# What a refused caller is told where no queue tells the time, in seconds.
RETRY_AFTER_S = 0.3
# Answers of an own failure: 502 and 504 promise nothing, 503 that nothing ran.
IN_DOUBT, NOT_SERVED, TIMED_OUT = 502, 503, 504


class RequestState:
    """What has become of one request so far."""

    def __init__(self):
        self.sends = 0
        self.arrivals = 0
        self.in_doubt = False
        self.ran = None
        self.refused = set()
        self.owner = ""
        self.reason = "no target is known"
        self.retry_after_s = RETRY_AFTER_S
        self.answer = None


def make_client_handler(node):
    """Return ``await handle(message) -> (status, headers, body)`` for callers.

    Parameters
    ----------
    node : Node
        State shared by the tasks of a node.
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
        answer, attempt, route = await decide(request, started)
        took_s = trio.current_time() - started
        metrics.observe("request", took_s)
        if answer.status >= 500 or route is None:
            metrics.count("failed")
            log(
                "answered", id=request.id, route=route.name if route else "",
                status=answer.status, reason=attempt.reason, sends=attempt.sends,
                config=node.config_version, took_s=took_s,
            )  # fmt: skip
        else:
            metrics.count("completed")
        return answer.status, answer.headers, answer.body

    async def decide(request, started):
        attempt = RequestState()
        if node.configuration is None:
            attempt.reason = "no configuration is known yet"
            return own_answer(request, attempt, NOT_SERVED), attempt, None
        route = match_route(node.configuration, request.host, request.path)
        if route is None:
            attempt.reason = "no route"
            return own_answer(request, attempt, 404), attempt, None
        service = node.splitter.pick(route)
        node.retry_budget.count_request(service, started)
        if not node.is_keyed(service):
            request = request._replace(key=None)
        remaining_s = route.timeout_s
        if request.client_timeout_s is not None:
            remaining_s = min(remaining_s, request.client_timeout_s)
        deadline = started + remaining_s
        if node.drain_deadline is not None and deadline > node.drain_deadline:
            attempt.reason = OUTLASTS_NODE
            return own_answer(request, attempt, NOT_SERVED), attempt, route
        with trio.CancelScope(deadline=deadline - RETURN_S) as scope:
            node.active_scopes.add(scope)
            try:
                await run(request, route, service, attempt, deadline)
            finally:
                node.active_scopes.discard(scope)
        if attempt.answer is None:
            status = TIMED_OUT if attempt.in_doubt else NOT_SERVED
            attempt.answer = own_answer(request, attempt, status)
        return attempt.answer, attempt, route

    async def run(request, route, service, attempt, deadline):
        started = trio.current_time()
        wait_until = started + min(OWNER_WAIT_S, OWNER_SHARE * (deadline - started))
        while attempt.answer is None:
            now = trio.current_time()
            if deadline - now < LEAST_LEFT_S:
                return
            vm = pick(request, service, attempt)
            if vm is not None:
                reply = await send(request, route, service, attempt, vm, deadline - now)
                settle(request, route, service, attempt, vm, reply)
                if attempt.answer is not None or not node.is_keyed(service):
                    continue
                if attempt.owner and attempt.sends < OWNER_HINTS:
                    continue
            if not may_wait(request, service) or trio.current_time() > wait_until:
                attempt.answer = own_answer(request, attempt, NOT_SERVED)
                return
            await trio.sleep(OWNER_PAUSE_S)

    def may_wait(request, service):
        return request.key is not None and node.owner_may_change(service, request.key)

    def pick(request, service, attempt):
        """Return the name of the VM to ask next, or None."""
        if node.is_keyed(service):
            return pick_owner(request, service, attempt)
        candidates = node.candidates(service, attempt.refused)
        best = choose(candidates, len(request.body), node.jitter)
        return best.vm if best else None

    def pick_owner(request, service, attempt):
        """Return the VM that another one named, or that the map names."""
        named, attempt.owner = attempt.owner, ""
        if named and node.accepts_requests(named):
            return named
        keymap = node.keymaps.get(service)
        if keymap is None or request.key is None:
            return None
        row = locate(keymap, request.key)
        return row.vm if row is not None and node.accepts_requests(row.vm) else None

    async def send(request, route, service, attempt, vm, remaining_s):
        ask = ForwardRequest(
            0, request.id, request.method, request.target, request.headers,
            request.body, remaining_s - RETURN_S, route.latency_goal_s, route.priority,
            request.key, node.settings.service, service, route.name,
        )  # fmt: skip
        attempt.sends += 1
        attempt.in_doubt = True
        attempt.reason = f"{vm} has not answered"
        if vm == node.settings.vm:
            reply = await node.serve(ask)
        else:
            reply = await node.links[vm].forward(ask)
        attempt.in_doubt = False
        return reply

    def settle(request, route, service, attempt, vm, reply):
        attempt.reason = reply.reason
        if reply.reached_target or reply.outcome != NOT_RUN:
            attempt.arrivals += 1
        if reply.outcome == ANSWERED:
            node.note_result(vm, reply.status < 500)
            answer = Response(reply.status, reply.headers, reply.body)
            if reply.status < 500 or not again(route, service, attempt, vm):
                attempt.answer = answer
            else:
                attempt.ran = answer
        elif reply.outcome == NOT_RUN:
            settle_not_run(request, route, service, attempt, vm, reply)
        else:
            node.note_result(vm, False)
            attempt.ran = own_answer(request, attempt, IN_DOUBT)
            if not again(route, service, attempt, vm):
                attempt.answer = attempt.ran

    def settle_not_run(request, route, service, attempt, vm, reply):
        if reply.retry_after_s:
            attempt.retry_after_s = reply.retry_after_s
        attempt.refused.add(vm)
        attempt.owner = reply.owner
        if reply.reached_target and not within_budget(route, service, attempt):
            attempt.answer = own_answer(request, attempt, NOT_SERVED)
        elif reply.retry_after_s and node.is_keyed(service):
            attempt.answer = own_answer(request, attempt, NOT_SERVED)

    def again(route, service, attempt, vm):
        """Whether a request that may have run is sent to another target."""
        if not route.retryable or node.is_keyed(service):
            return False
        if len(node.candidates(service)) < 2:
            return False
        attempt.refused.add(vm)
        return within_budget(route, service, attempt)

    def within_budget(route, service, attempt):
        """Whether one more target may see a request, and count it."""
        if attempt.arrivals >= max(1, route.attempts):
            return False
        now = trio.current_time()
        if not node.retry_budget.try_spend(service, len(node.vms), now):
            metrics.count("repeat_budget_spent")
            return False
        metrics.count("repeated")
        return True

    def own_answer(request, attempt, status):
        if status == NOT_SERVED and attempt.ran is not None:
            return attempt.ran
        metrics.count(f"own_{status}")
        retry_after_s = attempt.retry_after_s if status == NOT_SERVED else None
        headers = adapter.router_response_headers(request.id, retry_after_s)
        return Response(status, headers, attempt.reason.encode())

    return handle
