"""Follows a stream and hands each record to a handler, in offset order."""

import random

import trio

from jujuberudder_core import decode_record

WAIT_S = 5.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0
ROUND_TRIP_DECAY = 0.8


class Follower:
    """Reader of one stream.

    Parameters
    ----------
    client : LogClient
    stream : str
    handle : callable
        Called with ``(position, record)`` for each decoded record; the position is the
        offset plus one.
    log : callable
        ``log(event, **fields)``.
    miss : callable or None
        Called with the oldest offset kept when retention removed records unread.
        Nothing is handed over after a gap if it is None.
    """

    def __init__(self, client, stream, handle, log, miss=None):
        self._client = client
        self._stream = stream
        self._handle = handle
        self._log = log
        self._miss = miss
        self._first = 0
        self._went_back = False
        self._missed = False
        self._next = 0
        self._changed = trio.Event()
        self._failing = False
        self._read_at = float("-inf")
        self._round_trip_s = 0.0

    @property
    def read_at(self):
        """When the log service last answered, in the runtime's clock."""
        return self._read_at

    @property
    def round_trip_s(self):
        """How long the log service took to answer lately, in seconds."""
        return self._round_trip_s

    @property
    def next(self):
        """Offset of the next record to read."""
        return self._next

    @property
    def first(self):
        """Oldest offset known to be kept."""
        return self._first

    @property
    def failing(self):
        """Whether the last read failed."""
        return self._failing

    async def wait_for_change(self):
        """Wait until further records were handled."""
        await self._changed.wait()

    def note_round_trip(self, seconds):
        """Note how long one answer took; a slow one counts for a while.

        Failures do not count: after a cut their timeouts made the next lease so long
        that the takeover of the node waited for 5 s.
        """
        self._round_trip_s = max(seconds, self._round_trip_s * ROUND_TRIP_DECAY)

    async def catch_up(self):
        """Read until the end of the stream as it is now.

        Returns
        -------
        done : bool
            False if the log service could not be read or records were missed.
        """
        while True:
            sent_at = trio.current_time()
            batch = await self._client.read(self._stream, self._next)
            if batch.is_err():
                return False
            self.note_round_trip(trio.current_time() - sent_at)
            if not self._take(batch.ok_value):
                return False
            if self._next >= batch.ok_value.next:
                return True

    async def run(self):
        """Follow the stream for ever."""
        backoff = BACKOFF_MIN_S
        while True:
            batch = await self._client.read(self._stream, self._next, WAIT_S)
            if batch.is_ok() and self._take(batch.ok_value):
                self._failing = False
                backoff = BACKOFF_MIN_S
                continue
            if batch.is_err() and not self._failing:
                self._log("log_read_failed", stream=self._stream, error=batch.err_value)
            self._failing = True
            await trio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, BACKOFF_MAX_S)

    def _take(self, batch):
        """Hand over records; return False if the batch cannot follow what was read."""
        self._read_at = trio.current_time()
        if batch.next < self._next:
            self._refuse_older(batch)
            return False
        self._went_back = False
        if batch.first > self._next and not self._skip_to(batch.first):
            return False
        self._first = max(self._first, batch.first)
        for entry in batch.records:
            if entry.offset < self._next:
                continue
            self._next = entry.offset + 1
            record = decode_record(entry.data)
            if record.is_err():
                self._log("record_skipped", offset=entry.offset, error=record.err_value)
                continue
            # Positions start at 1, so that 0 can stand for "no version yet".
            self._handle(entry.offset + 1, record.ok_value)
        if batch.records:
            self._changed.set()
            self._changed = trio.Event()
        return True

    def _skip_to(self, first):
        """Go on after a gap if the handler loads snapshots; return whether it does."""
        # A fold of only the later records gave a key a second owner.
        if not self._missed:
            self._log(
                "records_removed", stream=self._stream, read_to=self._next, first=first
            )
        self._missed = self._miss is None
        if self._missed:
            return False
        self._next = first
        self._miss(first)
        return True

    def _refuse_older(self, batch):
        """Ignore a stale read, or a log that lost its end: the state stays."""
        if not self._went_back:
            self._log(
                "log_went_back",
                stream=self._stream,
                read_to=self._next,
                next=batch.next,
            )
        self._went_back = True
