"""Key ranges that the target beside this node may serve, as far as the node knows.

Between the node's decision to grant a range and the end of the grant at the target lies
an interval: the target may apply a grant late, or may never receive it, and its clock
may run slow. Requests are sent only up to the earliest end, and keys go to another
target without a handover only after the latest one.
"""

import itertools
from typing import NamedTuple

from ._keymap import uncovered
from ._types import KEY_COUNT

# Delay before a range is used again after the target stated twice in a row that it does
# not hold it, in seconds; it doubles each time, up to the maximum.
DISTRUST_MIN_S, DISTRUST_MAX_S = 0.2, 3.2
# Seconds after which such a statement no longer counts towards the next delay.
DISTRUST_MEMORY_S = 10.0


class HeldRange(NamedTuple):
    """Keys [start, end] that the target may hold under ``fence``.

    ``until`` is a time on the node's clock in seconds. The fence is 0 if an earlier
    process of this node may have granted the keys.
    """

    start: int
    end: int
    fence: int
    until: float


class _Distrust(NamedTuple):
    """Keys [start, end] that the target did not hold ``count`` times in a row."""

    start: int
    end: int
    until: float
    count: int


class OpenCall(NamedTuple):
    """A grant without a response, which the target may apply up to ``until``.

    ``sent_at`` is when it was sent.
    """

    start: int
    end: int
    fence: int
    sent_at: float
    until: float


class HeldKeys:
    """Grants to the target beside this node, with their earliest and latest ends."""

    def __init__(self):
        # Acknowledged grants up to their earliest end, and all grants up to the latest.
        self._usable, self._possible = [], []
        # Grants to earlier incarnations of the target up to their latest end.
        self._earlier = []
        self._open_calls = {}
        self._call_ids = itertools.count()
        self._distrusted = []

    @property
    def usable(self):
        """The ranges for which requests may be sent, as ``HeldRange``."""
        return tuple(self._usable)

    def possible(self, now):
        """Return the ranges that the target may hold, as ``HeldRange``."""
        self._drop_ended(now)
        return tuple(self._possible)

    def earlier(self, now):
        """Return the ranges that earlier incarnations may hold, as ``HeldRange``."""
        self._drop_ended(now)
        return tuple(self._earlier)

    def open_calls(self, now):
        """Return the grants without a response that may still be applied."""
        self._drop_ended(now)
        return tuple(self._open_calls.values())

    def assume_granted(self, now, until):
        """Assume that an earlier process granted all keys, without a response."""
        last_key = KEY_COUNT - 1
        self._possible = [HeldRange(0, last_key, 0, until)]
        self.begin_call(0, last_key, 0, now, until)

    def grant_all(self, key_ranges, usable_until, until):
        """Record a grant that replaces all earlier ones.

        Parameters
        ----------
        key_ranges : iterable of KeyRange
        usable_until, until : float
            Earliest and latest end of the grant.
        """
        self._usable = []
        for key_range in key_ranges:
            self.confirm(
                key_range.start, key_range.end, key_range.fence, usable_until, until
            )

    def confirm(self, start, end, fence, usable_until, until):
        """Record a grant that the target has acknowledged."""
        self._usable = _cut(self._usable, start, end)
        self._usable.append(HeldRange(start, end, fence, usable_until))
        self._possible = _cut(self._possible, start, end)
        self._possible.append(HeldRange(start, end, fence, until))

    def begin_call(self, start, end, fence, now, until):
        """Record a grant that is being sent, and return a number for ``end_call``."""
        self._drop_ended(now)
        number = next(self._call_ids)
        self._open_calls[number] = OpenCall(start, end, fence, now, until)
        return number

    def end_call(self, number):
        """Record that a grant was answered, or was not sent after all."""
        self._open_calls.pop(number, None)

    def withdraw(self, start, end):
        """Send no more requests for the keys [start, end]."""
        self._usable = _cut(self._usable, start, end)

    def release(self, start, end):
        """Record that the target has released keys.

        Grants of them without a response may still be applied.
        """
        self._usable = _cut(self._usable, start, end)
        self._possible = _cut(self._possible, start, end)

    def reset(self):
        """Record that a new incarnation of the target holds nothing.

        Its predecessor may hold its keys until their grants end: what names the new
        incarnation does not show that the process of the earlier one has ended. A grant
        without a response may reach either of them.
        """
        self._earlier += self._possible
        self._earlier += [
            HeldRange(c.start, c.end, c.fence, c.until)
            for c in self._open_calls.values()
        ]
        self._usable, self._possible, self._distrusted = [], [], []

    def covers(self, key, now):
        """Whether an acknowledged grant covers a key (None: no key is needed)."""
        if key is None:
            return True
        if self._distrusted and self.distrusted_s(key, now) > 0:
            return False
        return any(r.start <= key <= r.end and now <= r.until for r in self._usable)

    def usable_until(self, start, end, fence):
        """Return until when all keys [start, end] may be used under a fence.

        0 if some may not.
        """
        parts = [
            r
            for r in self._usable
            if r.fence == fence and r.start <= end and start <= r.end
        ]
        if uncovered(start, end, [(r.start, r.end) for r in parts]):
            return 0.0
        return min(r.until for r in parts)

    def expiry(self, start=0, end=KEY_COUNT - 1):
        """Return by when all grants of keys [start, end] have ended; 0 without any."""
        held = [*self._possible, *self._earlier, *self._open_calls.values()]
        return _latest_end(held, start, end)

    def earlier_expiry(self, start, end):
        """Return by when grants of the keys to earlier incarnations have ended."""
        return _latest_end(self._earlier, start, end)

    def open_call_expiry(self, start, end):
        """Return by when grants of the keys without a response have ended; 0 if none.

        Until then the target may apply them, also after it has released the keys.
        """
        return _latest_end(self._open_calls.values(), start, end)

    def disown(self, key, now):
        """Record that the target stated that it does not hold a key.

        Returns
        -------
        ranges : list of (start, end)
            Ranges that count as not granted from now on; empty if none contained the
            key.
        """
        disowned = [r for r in self._usable if r.start <= key <= r.end]
        for held in disowned:
            self.withdraw(held.start, held.end)
            count = 1 + max(
                (d.count for d in self._distrusted if d.start <= key <= d.end),
                default=0,
            )
            delay_s = 0.0
            if count > 1:
                delay_s = min(DISTRUST_MAX_S, DISTRUST_MIN_S * 2 ** (count - 2))
            self._distrusted = _cut(self._distrusted, held.start, held.end)
            self._distrusted.append(
                _Distrust(held.start, held.end, now + delay_s, count)
            )
        return [(r.start, r.end) for r in disowned]

    def trust(self, key):
        """Record that the target ran a request for a key."""
        if self._distrusted:
            self._distrusted = [
                d for d in self._distrusted if not d.start <= key <= d.end
            ]

    def distrusted_s(self, key, now):
        """Return for how many seconds a key is not used because of ``disown``."""
        ends = (d.until for d in self._distrusted if d.start <= key <= d.end)
        return max(0.0, max(ends, default=0.0) - now)

    def _drop_ended(self, now):
        self._usable = [r for r in self._usable if r.until > now]
        self._possible = [r for r in self._possible if r.until > now]
        self._earlier = [r for r in self._earlier if r.until > now]
        self._distrusted = [
            d for d in self._distrusted if d.until > now - DISTRUST_MEMORY_S
        ]
        self._open_calls = {n: c for n, c in self._open_calls.items() if c.until > now}


def _latest_end(held, start, end):
    """Return the latest end of grants that overlap the keys [start, end]; 0 if none."""
    ends = (h.until for h in held if h.start <= end and start <= h.end)
    return max(ends, default=0.0)


def _cut(ranges, start, end):
    """Return ranges without the keys [start, end]."""
    parts = []
    for r in ranges:
        if r.end < start or r.start > end:
            parts.append(r)
            continue
        for low, high in uncovered(r.start, r.end, [(start, end)]):
            parts.append(r._replace(start=low, end=high))
    return parts
