"""Grants to a target by calls to it, for services that do not use heartbeats for that.

`OwnershipManager` decides which ranges the target is to hold. This module carries that
out: it grants and renews them, and releases all others, with one call at a time for
each range. A call without a response may be applied later, so it stays recorded in
`HeldKeys` until its time has certainly passed.
"""

from collections.abc import Callable
from typing import NamedTuple

import trio
from result import Err, Ok

from ._ownership import CLOCK_DRIFT_FACTOR, SAFETY_MARGIN_S
from ._types import KeyRange

# Time after which a grant is renewed, as a share of its duration: after two calls
# without a response there is time for a third one.
RENEWAL_SHARE = 1 / 3
# Time-out of a grant. The target is on the same VM and responds within milliseconds.
GRANT_TIMEOUT_S = 0.3
# Time-out of a release, which the target answers when its running requests have ended.
RELEASE_TIMEOUT_S = 1.0
# Interval between two checks which calls are due, in seconds.
CHECK_INTERVAL_S = 0.1
# Delay before a range is granted again after the target refused its fence, in seconds,
# so that the key map can be read before.
REFUSED_DELAY_S = 0.5
# Number of calls to the target at the same time, which share its connections with the
# requests.
MAX_CALLS = 8


class GrantCalls(NamedTuple):
    """Calls of an adapter to the target beside the node.

    Each returns ``result.Ok``, or ``result.Err`` with a ``Failure`` if there was no
    response that could be read; the call may then be applied later.

    Parameters
    ----------
    grant : callable
        ``await grant(target_id, key_range, end_at)``: whether the target accepted the
        range up to ``end_at``, a time on trio's clock. It refuses a range of which it
        has seen a higher fence on one key.
    release : callable
        ``await release(target_id, start, end, fence)``: the handover token.
    """

    grant: Callable
    release: Callable


def due_grants(wanted, held, busy, retry_at, ttl_s, now):
    """Return the ranges that are to be granted or renewed by a call now.

    Adjacent ranges with the same fence and without a handover token are combined.

    Parameters
    ----------
    wanted : tuple of KeyRange
        Ranges that the target is to hold.
    held : HeldKeys
    busy : collection of (start, end)
        Ranges with a call in progress.
    retry_at : dict
        (start, end, fence) to the time before which no call is made for the range.
    ttl_s : float
        Duration of a grant, in seconds.
    now : float

    Returns
    -------
    list of KeyRange
    """
    due = []
    for key_range in combine(wanted):
        start, end = key_range.start, key_range.end
        if _overlaps_any(start, end, busy):
            continue
        if retry_at.get((start, end, key_range.fence), 0.0) > now:
            continue
        if held.distrusted_s(start, now) > 0:
            continue
        usable_until = held.usable_until(start, end, key_range.fence)
        if usable_until - (1 - RENEWAL_SHARE) * ttl_s <= now:
            due.append(key_range)
    return due


def combine(key_ranges):
    """Combine adjacent key ranges with the same fence and without a handover token."""
    combined = []
    for key_range in sorted(key_ranges, key=lambda r: r.start):
        last = combined[-1] if combined else None
        if (
            last is not None
            and (last.end + 1, last.fence) == (key_range.start, key_range.fence)
            and not (last.handover or key_range.handover)
        ):
            combined[-1] = KeyRange(
                last.start, key_range.end, last.fence, last.vm, last.target_incarnation
            )
        else:
            combined.append(key_range)
    return combined


def _overlaps_any(start, end, ranges):
    return any(low <= end and start <= high for low, high in ranges)


class GrantCaller:
    """Calls the target so that it holds the ranges that `OwnershipManager` wants.

    Parameters
    ----------
    node : Node
    ownership : OwnershipManager
    calls : GrantCalls
    """

    def __init__(self, node, ownership, calls):
        self._node = node
        self._ownership = ownership
        self._calls = calls
        # (start, end) of the ranges with a call in progress.
        self._busy = set()
        self._retry_at = {}
        # Whether the target closed or refused a connection since its last heartbeat.
        # The next process at the address may have the same id, and must not get a
        # grant that was meant for its predecessor.
        self._disconnected = False
        self._capacity = trio.CapacityLimiter(MAX_CALLS)
        self._wake = trio.Event()

    def check_now(self):
        """Check at once which calls are due."""
        self._wake.set()

    def on_heartbeat(self):
        """Check which calls are due after a heartbeat of the target."""
        self._disconnected = False
        self.check_now()

    async def run(self):
        """Call the target when a call is due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                interval_s = float("inf")
                if self._may_call():
                    self._start_due_calls(nursery)
                    interval_s = CHECK_INTERVAL_S
                with trio.move_on_after(interval_s):
                    await self._wake.wait()
                self._wake = trio.Event()

    def _may_call(self):
        overdue = self._node.target.heartbeat_overdue(trio.current_time())
        return self._node.grants_by_call and not (overdue or self._disconnected)

    def _start_due_calls(self, nursery):
        now, held = trio.current_time(), self._node.target.held
        wanted = self._ownership.ranges_to_grant(now)
        if wanted is None:
            return
        self._retry_at = {r: at for r, at in self._retry_at.items() if at > now}
        for held_range in self._ownership.ranges_to_release(now):
            held.withdraw(held_range.start, held_range.end)
            if not _overlaps_any(held_range.start, held_range.end, self._busy):
                self._start(nursery, self._release, held_range)
        due = due_grants(
            wanted, held, self._busy, self._retry_at, self._ownership.grant_ttl_s, now
        )
        for key_range in due:
            self._start(nursery, self._grant, key_range)

    def _start(self, nursery, call, key_range):
        self._busy.add((key_range.start, key_range.end))

        async def run():
            try:
                async with self._capacity:
                    await call(key_range)
            finally:
                self._busy.discard((key_range.start, key_range.end))
                self.check_now()

        nursery.start_soon(run)

    def _still_wanted(self, key_range, now):
        """Whether a range may still be granted after a wait."""
        wanted = self._ownership.ranges_to_grant(now)
        return wanted is not None and any(
            r.start <= key_range.start
            and key_range.end <= r.end
            and r.fence == key_range.fence
            for r in combine(wanted)
        )

    async def _grant(self, key_range):
        """Grant or renew a range with one call."""
        node, target = self._node, self._node.target
        held, incarnation, now = target.held, target.incarnation, trio.current_time()
        if not self._still_wanted(key_range, now):
            return
        start, end, fence = key_range.start, key_range.end, key_range.fence
        renewed = held.usable_until(start, end, fence) > 0
        end_at = now + self._ownership.grant_ttl_s
        # The duration that the target is told ends at ``end_at`` on this clock.
        expiry = now + self._ownership.grant_ttl_s * CLOCK_DRIFT_FACTOR
        number = held.begin_call(start, end, fence, now, expiry)
        node.metrics.count("grant_calls")
        result = Err(None)
        with trio.move_on_after(GRANT_TIMEOUT_S):
            result = await self._calls.grant(target.id, key_range, end_at)
        took_s = trio.current_time() - now
        match result:
            case Ok(accepted):
                held.end_call(number)
                if incarnation != target.incarnation:
                    return
                if not accepted:
                    self._on_refused(key_range)
                    return
                held.confirm(start, end, fence, end_at, expiry)
                # A move or a change of the key map may have been decided meanwhile.
                self._withdraw_unwanted(key_range)
                if not renewed:
                    self._log("keys_granted", key_range, took_s=took_s)
                node.admission.dispatch()
            case Err(failure):
                self._disconnected |= failure is not None
                if failure is not None and not failure.may_have_run:
                    held.end_call(number)
                node.metrics.count("grant_calls_unanswered")
                reason = str(failure or f"no answer in {GRANT_TIMEOUT_S} s")
                self._log("grant_unanswered", key_range, took_s=took_s, reason=reason)

    def _withdraw_unwanted(self, key_range):
        now = trio.current_time()
        for held_range in self._ownership.ranges_to_release(now):
            if held_range.start <= key_range.end and key_range.start <= held_range.end:
                self._node.target.held.withdraw(held_range.start, held_range.end)

    def _on_refused(self, key_range):
        now = trio.current_time()
        call = (key_range.start, key_range.end, key_range.fence)
        self._retry_at[call] = now + REFUSED_DELAY_S
        self._node.metrics.count("grant_calls_refused")
        self._log("grant_refused", key_range, reason="a higher fence was seen")
        self._node.target.held.withdraw(key_range.start, key_range.end)
        self._ownership.on_fence_refused(*call)

    async def _release(self, held_range):
        """Release a range with one call."""
        node, target = self._node, self._node.target
        held, incarnation, now = target.held, target.incarnation, trio.current_time()
        node.metrics.count("release_calls")
        result = Err(None)
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            result = await self._calls.release(
                target.id, held_range.start, held_range.end, held_range.fence
            )
        took_s = trio.current_time() - now
        match result:
            case Ok(handover):
                if incarnation != target.incarnation:
                    return
                held.release(held_range.start, held_range.end)
                usable_at = held.open_call_expiry(held_range.start, held_range.end)
                if usable_at:
                    usable_at += SAFETY_MARGIN_S
                self._ownership.record_release(
                    held_range.start, held_range.end, handover, usable_at
                )
                self._log(
                    "keys_released", held_range, took_s=took_s,
                    usable_in_s=max(0.0, usable_at - trio.current_time()),
                )  # fmt: skip
            case Err(failure):
                self._disconnected |= failure is not None
                node.metrics.count("release_calls_unanswered")
                reason = str(failure or f"no answer in {RELEASE_TIMEOUT_S} s")
                self._log(
                    "release_unanswered", held_range, took_s=took_s, reason=reason
                )

    def _log(self, event, key_range, **fields):
        self._node.log(
            event, target=self._node.target.incarnation, start=key_range.start,
            end=key_range.end, fence=key_range.fence, **fields,
        )  # fmt: skip
