"""The target beside this node: its life, what it holds, and requests sent to it."""

from typing import NamedTuple

import trio

from ._frames import ANSWERED, NOT_RUN, UNKNOWN, Reply
from ._gate import Refused
from ._http import ExchangeError, request_bytes
from ._pool import Pool

# Wait for a connection to the target on the same VM; an accept queue that is full
# answers after a second at the earliest.
CONNECT_S = 1.0
# Seconds after which unacknowledged bytes end a connection on the same VM.
USER_TIMEOUT_S = 3.0
# Seconds without a beat before a target is taken to be lost: about as long as a grant
# holds, and three beats.
SILENT_S = 2.6


class Verdict(NamedTuple):
    """How an adapter reads a target's response.

    ``not_run`` is what the target itself states; ``broken`` a reason why the response
    is none to this request, or none at all; ``load`` (running, waiting, slots).
    """

    not_run: bool
    broken: str | None
    load: tuple | None


class Target:
    """State of the target beside the node.

    Parameters
    ----------
    address : str
    """

    def __init__(self, address):
        self.pool = Pool(address, CONNECT_S, USER_TIMEOUT_S)
        self.id = ""
        self.born = -1
        self.sequence = -1
        self.slots = 0
        self.leaving = False
        self.beat_at = None
        self._granted = ()
        self._hold_ends = self._held_until = 0.0

    @property
    def life(self):
        """Name of this life of the target; empty while none is known."""
        return f"{self.id}@{self.born}" if self.id else ""

    @property
    def held_until(self):
        """When the last grant has surely run out, on the node's clock (s)."""
        return self._held_until

    def silent(self, now):
        """Whether beats have been missing for long."""
        return self.beat_at is None or now - self.beat_at > SILENT_S

    def take(self, beat, now):
        """Note a beat.

        Returns
        -------
        news : str
            ``"old"`` (of an earlier life or late), ``"life"`` (a new one) or ``""``.
        """
        if beat.born < self.born:
            return "old"
        news = ""
        if (beat.target, beat.born) != (self.id, self.born):
            news = "life"
            self.id, self.born, self.sequence = beat.target, beat.born, -1
            self.leaving = False
            self._granted = ()
            self.pool.close()
        if beat.sequence < self.sequence:
            return "old"
        self.sequence = beat.sequence
        self.beat_at = now
        self.slots = beat.slots
        self.leaving = self.leaving or beat.leaving
        return news

    def granted(self, rows, hold_s, drift, now):
        """Note what the answer to a beat grants."""
        self._granted = tuple((row.start, row.end) for row in rows)
        self._hold_ends = now + hold_s
        self._held_until = now + hold_s * drift

    def holds(self, key, now):
        """Whether the target holds a key (None: the request has no key)."""
        if key is None:
            return True
        if not self._granted or now > self._hold_ends:
            return False
        return any(start <= key <= end for start, end in self._granted)


def make_serve(target, gate, wire, not_served, log, metrics):
    """Return ``await serve(ask) -> Reply``, which runs requests at the target.

    Parameters
    ----------
    target : Target
    gate : Gate
    wire : Wire
        The adapter's reading and writing of headers.
    not_served : callable
        ``not_served(service, key) -> (reason, owner) or None``: why this node may not
        serve a request, and the VM that may.
    log : callable
    metrics : Metrics
    """

    async def serve(ask):
        arrived = trio.current_time()
        deadline = arrived + ask.left_s
        try:
            reply = await attempt(ask, deadline)
        except Refused as refused:
            metrics.count("refused_at_gate")
            log(
                "refused", id=ask.request_id, route=ask.route, reason=refused.reason,
                running=gate.running, waited_s=trio.current_time() - arrived,
                retry_after_s=refused.retry_after_s,
            )  # fmt: skip
            reply = Reply(
                ask.id, NOT_RUN, reason=refused.reason,
                retry_after_s=refused.retry_after_s,
            )  # fmt: skip
        reply.load = gate.load()
        return reply

    async def attempt(ask, deadline):
        elsewhere = not_served(ask.service, ask.key)
        if elsewhere:
            reason, owner = elsewhere
            return Reply(ask.id, NOT_RUN, reason=reason, owner=owner)
        arrived = trio.current_time()
        await gate.enter(ask, arrived)
        started = trio.current_time()
        metrics.observe("gate_wait", started - arrived)
        took = None
        try:
            reply = await send(ask, deadline - started)
            if reply.outcome == ANSWERED:
                took = trio.current_time() - started
                metrics.observe("target", took)
        finally:
            gate.leave(ask, took)
        return reply

    async def send(ask, left_s):
        headers = wire.target_headers(ask, left_s, target.id)
        data = request_bytes(ask.method, ask.target, headers, ask.body)
        verdict = None

        def expect(response):
            nonlocal verdict
            verdict = wire.read_response(response, ask.request_id)
            return verdict.broken

        life = target.life
        try:
            response = await target.pool.exchange(data, "send to target", expect)
        except ExchangeError as error:
            failure = error.failure
            metrics.count("target_failures")
            log(
                "target_failed", id=ask.request_id, target=life, reason=str(failure),
                maybe_run=failure.maybe_done,
            )  # fmt: skip
            if not failure.maybe_done:
                # No process listens, or it takes no more; its next beat opens the gate.
                gate.close("the target takes no connections")
            outcome = UNKNOWN if failure.maybe_done else NOT_RUN
            return Reply(ask.id, outcome, reason=str(failure))
        if verdict.load is not None:
            gate.note_load(*verdict.load, trio.current_time())
        if verdict.not_run:
            metrics.count("target_refusals")
            log(
                "target_refused", id=ask.request_id, target=life,
                status=response.status,
            )  # fmt: skip
            reason = f"the target refused with {response.status}"
            gate.note_shed(trio.current_time())
            return Reply(ask.id, NOT_RUN, reason=reason, arrived=True)
        return Reply(
            ask.id, ANSWERED, response.status,
            wire.answer_headers(response.headers), response.body,
        )  # fmt: skip

    return serve
