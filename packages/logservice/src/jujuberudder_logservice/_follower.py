"""Reader that follows a stream and passes on its records in order of offset."""

import random

import trio

from jujuberudder_core import decode_record

LONG_POLL_S = 5.0
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
        ``handle(position, record)``, called for each decoded record; the position is
        the offset plus one.
    log : callable
        ``log(event, **fields)``.
    on_gap : callable or None
        Called with the oldest offset that the log service still stores if retention
        removed unread records. If None, the follower passes on no records after a gap.
    """

    def __init__(self, client, stream, handle, log, on_gap=None):
        self._client = client
        self._stream = stream
        self._handle = handle
        self._log = log
        self._on_gap = on_gap
        self._first = 0
        self._end_regressed = False
        self._stopped_at_gap = False
        self._next = 0
        self._changed = trio.Event()
        self._failing = False
        self._read_at = float("-inf")
        self._round_trip_s = 0.0

    @property
    def read_at(self):
        """Time of the last response of the log service, on trio's clock."""
        return self._read_at

    @property
    def round_trip_s(self):
        """Recent response time of the log service in seconds."""
        return self._round_trip_s

    @property
    def next(self):
        """Offset of the next record to read."""
        return self._next

    @property
    def first(self):
        """Oldest offset that the log service stored at the last read."""
        return self._first

    @property
    def failing(self):
        """Whether the last read failed."""
        return self._failing

    async def wait_for_change(self):
        """Wait until further records have been handled."""
        await self._changed.wait()

    def record_round_trip(self, seconds):
        """Update the round-trip time with that of one response.

        The value decays slowly after a slow response. Failed requests must not be
        included: after a network partition their time-outs would extend the next lease
        so far that a takeover of the node waits for 5 s.

        Parameters
        ----------
        seconds : float
            Time from the request to its response.
        """
        self._round_trip_s = max(seconds, self._round_trip_s * ROUND_TRIP_DECAY)

    async def catch_up(self):
        """Read up to the current end of the stream.

        Returns
        -------
        done : bool
            False if a read failed or its records do not follow those read before.
        """
        while True:
            sent_at = trio.current_time()
            batch = await self._client.read(self._stream, self._next)
            if batch.is_err():
                return False
            self.record_round_trip(trio.current_time() - sent_at)
            if not self._process(batch.ok_value):
                return False
            if self._next >= batch.ok_value.next:
                return True

    async def run(self):
        """Follow the stream until cancelled."""
        backoff = BACKOFF_MIN_S
        while True:
            batch = await self._client.read(self._stream, self._next, LONG_POLL_S)
            if batch.is_ok() and self._process(batch.ok_value):
                self._failing = False
                backoff = BACKOFF_MIN_S
                continue
            if batch.is_err() and not self._failing:
                self._log("log_read_failed", stream=self._stream, error=batch.err_value)
            self._failing = True
            await trio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, BACKOFF_MAX_S)

    def _process(self, batch):
        """Handle the records of a batch.

        Returns
        -------
        done : bool
            False if the batch does not follow the records read before.
        """
        self._read_at = trio.current_time()
        if batch.next < self._next:
            self._report_regression(batch)
            return False
        self._end_regressed = False
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
            # Positions start at 1, so that 0 can mean "no version yet".
            self._handle(entry.offset + 1, record.ok_value)
        if batch.records:
            self._changed.set()
            self._changed = trio.Event()
        return True

    def _skip_to(self, first):
        """Continue after a gap if there is a gap handler; return whether there is."""
        # Without a snapshot, applying only the later records can give a key two owners.
        if not self._stopped_at_gap:
            self._log(
                "records_removed", stream=self._stream, read_to=self._next, first=first
            )
        self._stopped_at_gap = self._on_gap is None
        if self._stopped_at_gap:
            return False
        self._next = first
        self._on_gap(first)
        return True

    def _report_regression(self, batch):
        """Log once that the stream ends before an offset already read; keep the state.

        The read is stale, or the log service lost its newest records.
        """
        if not self._end_regressed:
            self._log(
                "log_went_back",
                stream=self._stream,
                read_to=self._next,
                next=batch.next,
            )
        self._end_regressed = True
