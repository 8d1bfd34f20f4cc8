"""Follower of a topic: reads the newest record of each key, then new records.

A follower that is far behind reads the newest record of each key again, so that the
bytes to read are bounded however many records were written. It also takes records that
other nodes have read.
"""

import trio
from result import Err, Ok

from ._store import Record, Truncated

# Backoff after a failed call, in seconds, which doubles from the first value up to the
# last one. The last one bounds the delay of a node after the store is available again.
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.1, 1.0
# Longest time until it is asked again when to read, in seconds.
MAX_DELAY_S = 0.5
# Seconds for which a read may continue after the topic is known to have more records:
# its response comes within the store's delay unless it was lost. The time doubles with
# each further attempt, as the store may be slow.
BEHIND_READ_LIMIT_S = 0.4
# Seconds for which a read that is behind may continue after its response has begun: the
# longest response takes 0.5 s on the users' slowest links of 5 Mbit/s, if no other
# traffic is on them.
RESPONSE_LIMIT_S = 2.0
# Number of consecutive reads that are cancelled before reads run without this limit: a
# slow node or store needs more time, and a wrong end must not cancel all reads.
MAX_CANCELLED_READS = 3
# Number of unread records up to which all of them are read: the newest record of each
# key takes a third more bytes in the response of the store.
MIN_UNREAD_RECORDS = 2
# Least time between two reads that are made because another node stated a higher era,
# in seconds: a wrong era must not cause continuous reads.
PEER_ERA_INTERVAL_S = 1.0


class Follower:
    """Reads a topic in order and applies its records.

    Records that were replaced before they were read may be skipped.

    Parameters
    ----------
    store : Store
    topic : str
    wait_s : callable
        Returns the time that a read waits for a record, in seconds.
    apply : callable
        ``apply(record)``, called in the order of offsets for each key.
    log : callable
        ``log(event, **fields)``.
    batch_delay_s : callable, default=None
        Returns the pause after a read that returned records, in seconds. Records that
        are appended during the pause are read with one call.
    read_delay_s : callable, default=None
        ``read_delay_s(follower)`` returns the time until the next read, in seconds; it
        is asked again after ``wake``. If None, the topic is always read.
    on_change : callable, default=None
        ``on_change()`` is called when ``end`` has changed.
    jitter : callable, default=None
        Returns random numbers in [0, 1), for the backoff.
    on_era : callable, default=None
        ``on_era(follower, previous_end)`` is called when the follower starts again in a
        new era, with its end in the previous one.

    Attributes
    ----------
    end : int or None
        Offset after the last record read; None until the newest records are read, and
        again after records at this offset were removed.
    read_at : float or None
        When the last read that reached the end of the topic was sent, on the node's
        clock in seconds.
    read_begun_at : float
        When this node last began to read by itself, on its clock in seconds.
    failing_since : float or None
        Time of the first of the current failures, in seconds; None after a success.
    changed : trio.Event
        Set, and replaced, after each successful read.
    era : int
        Era of the store in which ``end`` was read; 0 if the store states none.
    era_seen_at : float
        When a response first stated the era, on the node's clock in seconds.
    era_changed : bool
        Whether an earlier era was read before.
    era_read_at : float or None
        When the first read was completed after the era has changed, on the node's clock
        in seconds.
    """

    def __init__(
        self, store, topic, wait_s, apply, log, batch_delay_s=None, read_delay_s=None,
        on_change=None, jitter=None, on_era=None,
    ):  # fmt: skip
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._apply = apply
        self._log = log
        self._batch_delay_s = batch_delay_s or float
        self._read_delay_s = read_delay_s or (lambda follower: 0.0)
        self._on_change = on_change or (lambda: None)
        self._jitter = jitter or (lambda: 0.5)
        self._on_era = on_era or (lambda follower, previous_end: None)
        self._batch_pause = trio.CancelScope()
        self._woken = trio.Event()
        # Key to its newest record.
        self._newest = {}
        self._known_end, self._cancelled_reads = 0, 0
        self._received_bytes, self._behind_since = 0, None
        self._read_scope = trio.CancelScope()
        self.end = None
        self.read_at = None
        self.read_begun_at = trio.current_time()
        self.failing_since = None
        self.changed = trio.Event()
        self.era, self.era_seen_at, self.era_read_at = 0, trio.current_time(), None
        self.era_changed, self._logged_without_era = False, False
        # Highest era that another node stated, and when a read was last made for it.
        self._peer_era, self._peer_era_read_at = 0, float("-inf")

    @property
    def batch_delay_s(self):
        """Pause after a read that returned records, in seconds."""
        return self._batch_delay_s()

    def read_now(self):
        """End the pause after a read at once, because a record is expected."""
        self._batch_pause.cancel()

    def wake(self):
        """Ask again when to read, because what that depends on has changed."""
        self._woken.set()

    def records_since(self, since):
        """Return the newest records with offsets from ``since`` on, in their order."""
        records = [r for r in self._newest.values() if r.offset >= since]
        return sorted(records, key=lambda record: record.offset)

    def keys(self):
        """Return the keys that have a value."""
        return [r.key for r in self._newest.values() if r.value]

    def merge(self, since, end, records, era=0, keys=None):
        """Apply records that another node has read.

        Parameters
        ----------
        since, end : int
            The records are the newest ones of all keys with offsets in [since, end).
        records : list of (offset, key, value)
        era : int, default=0
            Era in which the node read them, 0 if it states none.
        keys : list of str, default=None
            All keys that have a value at ``end``, if the other node told them.

        Returns
        -------
        merged : bool
            False if records before ``since`` have not been read here, or the records
            are of another era.
        """
        if not self.same_era(era):
            return False
        if since > (self.end or 0):
            self.observe_end(end)
            return False
        if self.end is not None and end <= self.end:
            return True
        for offset, key, value in records:
            self._apply_newer(Record(offset, key, value))
        if keys is not None:
            self._apply_deletions(set(keys), end)
        self.end = end
        self._record_change()
        return True

    def observe_append(self, offset, key, value, era=0):
        """Apply a record that this node has appended, once all before it are read."""
        self._batch_pause.cancel()
        if self.end is not None:
            self.merge(offset, offset + 1, [(offset, key, value)], era)

    def same_era(self, era):
        """Whether an offset that was stated with an era can be compared with ``end``.

        A higher era of another node causes a read: only the store's word begins an era.
        """
        if era in (0, self.era):
            return True
        now = trio.current_time()
        if era > self.era and now - self._peer_era_read_at >= PEER_ERA_INTERVAL_S:
            self._peer_era = era
            # As in ``observe_end``: a slow store needs time, also for a first read.
            if not self._received_bytes and self._cancelled_reads < MAX_CANCELLED_READS:
                deadline = now + BEHIND_READ_LIMIT_S
                self._read_scope.deadline = min(self._read_scope.deadline, deadline)
            self._batch_pause.cancel()
            self.wake()
        return False

    def accept_era(self, era):
        """Whether a response of the store with this era is of the present era.

        A higher era begins: all records are read anew. A response of an earlier era is
        late. Without an era, it counts as one of the present era.
        """
        if era > self.era:
            self._begin_era(era)
        elif era == 0 and self.era and not self._logged_without_era:
            self._logged_without_era = True
            self._log("store_era_missing", topic=self._topic, era=self.era)
        elif 0 < era < self.era:
            self._log("store_era_old", topic=self._topic, era=self.era, stated=era)
            return False
        return True

    def _begin_era(self, era):
        previous, previous_end = self.era, self.end
        self.era, self.era_changed = era, self.started
        self.era_seen_at = now = trio.current_time()
        self.end = self.read_at = self.era_read_at = self._behind_since = None
        self._newest, self._known_end, self._cancelled_reads = {}, 0, 0
        # A read in progress may wait at an offset of the previous era.
        deadline = now + BEHIND_READ_LIMIT_S
        self._read_scope.deadline = min(self._read_scope.deadline, deadline)
        if self.era_changed:
            self._log(
                "store_era", topic=self._topic, era=era, previous=previous,
                end=previous_end,
            )  # fmt: skip
            self._on_era(self, previous_end)
        self.wake()

    def _apply_newer(self, record):
        known = self._newest.get(record.key)
        if known is None or record.offset > known.offset:
            self._newest[record.key] = record
            self._apply(record)

    def _apply_deletions(self, keys, end):
        """Apply an empty record for each known key that is not in ``keys``.

        These are all keys that had a record with an offset below ``end``.
        """
        for record in list(self._newest.values()):
            if record.key not in keys and record.value and record.offset < end:
                # All nodes that do not know of the deletion yet get it with this.
                self._apply_newer(Record(max(end - 1, 0), record.key, b""))

    def _record_change(self):
        if self.end >= self._known_end:
            self._behind_since = None
            if self.era_changed and self.era_read_at is None:
                self.era_read_at = trio.current_time()
        self.changed.set()
        self.changed = trio.Event()
        self.wake()
        self._on_change()

    @property
    def started(self):
        """Whether the topic has been read at least once.

        A follower that starts again in a new era still knows the previous records.
        """
        return self.end is not None or self.era_changed

    @property
    def behind_s(self):
        """Seconds since another node reported records that this node has not read.

        0 if none did.
        """
        if self._behind_since is None:
            return 0.0
        return trio.current_time() - self._behind_since

    def observe_end(self, end):
        """Record a known end of the topic and limit the time of a read behind it."""
        if self.end is None or end <= max(self.end, self._known_end):
            return
        self._known_end = end
        if self._behind_since is None:
            self._behind_since = trio.current_time()
        self.wake()
        if self._received_bytes:
            return
        deadline = self._read_deadline(trio.current_time())
        self._read_scope.deadline = min(self._read_scope.deadline, deadline)

    def confirm_read(self, end, at):
        """Record that another node's complete read, sent at ``at``, showed ``end``.

        If this node has read up to ``end``, all records that it has not read were
        appended after that time, so its own read counts as sent then.
        """
        if self.end is not None and end <= self.end:
            self.read_at = max(self.read_at or 0.0, at)

    async def run(self):
        """Read the topic when ``read_delay_s`` says so, until cancelled."""
        backoff_s = BACKOFF_MIN_S
        while True:
            delay_s = self._read_delay_s(self)
            if delay_s > 0 and self._peer_era <= self.era:
                with trio.move_on_after(min(delay_s, MAX_DELAY_S)):
                    await self._woken.wait()
                self._woken = trio.Event()
                continue
            if await self._step():
                backoff_s = BACKOFF_MIN_S
            else:
                await trio.sleep(backoff_s * (0.5 + self._jitter()))
                backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)

    async def _step(self):
        self.read_begun_at = sent_at = trio.current_time()
        result = None
        self._received_bytes = 0
        newest = self._reads_newest()
        if self._peer_era > self.era:
            # A read of the newest records does not wait for one.
            newest, self._peer_era, self._peer_era_read_at = True, 0, sent_at
        with trio.CancelScope(
            deadline=self._read_deadline(sent_at)
        ) as self._read_scope:
            if newest:
                result = await self._store.newest(self._topic, self._on_data)
            else:
                result = await self._store.read(
                    self._topic, self.end, self._wait_s(), self._on_data
                )
        match result:
            case None:
                self._cancelled_reads += 1
                self._log(
                    "read_behind",
                    topic=self._topic,
                    end=self.end,
                    known_end=self._known_end,
                    after_s=trio.current_time() - sent_at,
                    received_bytes=self._received_bytes,
                )
                return True
            case Ok(response) if not self.accept_era(response.era):
                return False
            case Ok() if self.end is None and not newest:
                # Offsets of the previous era mean nothing in this one.
                return True
            case Ok(Truncated(first)):
                self._log("records_forgotten", topic=self._topic, first=first)
                self.end = None
                return False
            case Ok(page):
                self._apply_page(page, newest, sent_at)
                if page.records:
                    with trio.CancelScope() as self._batch_pause:
                        await trio.sleep(self.batch_delay_s)
                return True
            case Err(failure):
                self._record_failure(failure)
                return False

    def _on_data(self, size):
        """Count received bytes, and let a response that has begun arrive."""
        if self._received_bytes == 0:
            deadline = trio.current_time() + RESPONSE_LIMIT_S
            self._read_scope.deadline = max(self._read_scope.deadline, deadline)
        self._received_bytes += size

    def _reads_newest(self):
        """Whether to read the newest record of each key in place of all records.

        The newest ones are fewer if there are more unread records than keys. How many
        there are is not known after a failed call.
        """
        if self.end is None or self.failing_since is not None:
            return True
        return self._known_end - self.end > max(MIN_UNREAD_RECORDS, len(self._newest))

    def _read_deadline(self, now):
        """Return the time at which a read that is in progress now is cancelled."""
        if (
            self.end is None
            or self._known_end <= self.end
            or self._cancelled_reads >= MAX_CANCELLED_READS
        ):
            return float("inf")
        return now + BEHIND_READ_LIMIT_S * 2**self._cancelled_reads

    def _apply_page(self, page, newest, sent_at):
        if self.failing_since is not None:
            self._log(
                "store_regained", topic=self._topic,
                after_s=trio.current_time() - self.failing_since,
            )  # fmt: skip
            self.failing_since = None
        if page.records:
            self._cancelled_reads = 0
        for record in page.records:
            self._apply_newer(record)
        if newest:
            self._apply_deletions({r.key for r in page.records}, page.end)
            self.end = max(self.end or 0, page.end)
        elif page.records:
            self.end = max(self.end, page.records[-1].offset + 1)
        # The end that the store stated is right; one that a node reported may not be.
        self._known_end = page.end
        if self.end >= page.end:
            self.read_at = max(self.read_at or 0.0, sent_at)
        self._record_change()

    def _record_failure(self, failure):
        if self.failing_since is None:
            self.failing_since = trio.current_time()
            self._log("store_lost", topic=self._topic, reason=str(failure))
