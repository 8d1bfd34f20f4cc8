"""Follows a topic of the store: the newest of each key first, then each record."""

import trio
from result import Err, Ok

from ._store import Truncated

# Pauses after a failed call, doubling from the first to the last, in seconds. The last
# bounds how late a node is after the store returns.
PAUSE_FIRST_S, PAUSE_LAST_S = 0.1, 1.0
# Seconds that a read may go on after the topic is known to go further: its own answer
# comes within the store's delay, unless it was lost. Doubled with each further try, as
# the store may be slow.
BEHIND_S = 0.4
# Reads that are cut short in a row before one may take its time: a slow node or store
# needs it, and a wrong end can't go on for ever.
BEHIND_TRIES = 3


class Follower:
    """Reads a topic in order and hands over its records.

    Parameters
    ----------
    store : Store
    topic : str
    wait_s : callable
        Returns how long a read waits for a record, in seconds.
    apply : callable
        ``apply(record)``, in the order of offsets for each key.
    log : callable
    batch_delay_s : callable, default=None
        Returns the pause after a read that brought records, in seconds: what is
        appended meanwhile comes with one call.
    """

    def __init__(self, store, topic, wait_s, apply, log, batch_delay_s=None):
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._apply = apply
        self._log = log
        self._batch_delay_s = batch_delay_s or float
        self._pause = trio.CancelScope()
        self._offsets = {}
        self._heard, self._tries = 0, 0
        self._reading = trio.CancelScope()
        self.end = None
        self.read_at = None
        self.failing_since = None
        self.changed = trio.Event()

    @property
    def batch_delay_s(self):
        """Pause after a read that brought records, in seconds."""
        return self._batch_delay_s()

    def read_now(self):
        """End the pause after a read, as a record is waited for."""
        self._pause.cancel()

    @property
    def started(self):
        """Whether the topic was read once."""
        return self.end is not None

    def observe_end(self, end):
        """Note that the topic goes up to an offset; hurries a read in vain."""
        if self.end is None or end <= max(self.end, self._heard):
            return
        self._heard = end
        latest = self._latest(trio.current_time())
        self._reading.deadline = min(self._reading.deadline, latest)

    def confirm_read(self, end, at):
        """Note that another node's complete read, sent at a time, showed an end.

        Whatever this node has not read was appended after that time.
        """
        if self.end is not None and end <= self.end and self.read_at is not None:
            self.read_at = max(self.read_at, at)

    async def run(self):
        """Follow until cancelled."""
        pause = PAUSE_FIRST_S
        while True:
            ok = await self._step()
            if ok:
                pause = PAUSE_FIRST_S
            else:
                await trio.sleep(pause)
                pause = min(2 * pause, PAUSE_LAST_S)

    async def _step(self):
        sent_at = trio.current_time()
        found = None
        with trio.CancelScope(deadline=self._latest(sent_at)) as self._reading:
            if self.end is None:
                found = await self._store.newest(self._topic)
            else:
                found = await self._store.read(self._topic, self.end, self._wait_s())
        match found:
            case None:
                self._tries += 1
                self._log(
                    "read_behind", topic=self._topic, end=self.end, heard=self._heard
                )
                return True
            case Ok(Truncated(first)):
                self._log("records_forgotten", topic=self._topic, first=first)
                self.end = None
                return False
            case Ok(page):
                self._take(page, sent_at)
                if page.records:
                    with trio.CancelScope() as self._pause:
                        await trio.sleep(self.batch_delay_s)
                return True
            case Err(failure):
                self._note_failure(failure)
                return False

    def _latest(self, now):
        """Return when a read that goes on now is cut short."""
        if self.end is None or self._heard <= self.end or self._tries >= BEHIND_TRIES:
            return float("inf")
        return now + BEHIND_S * 2**self._tries

    def _take(self, page, sent_at):
        if self.failing_since is not None:
            self._log(
                "store_regained", topic=self._topic,
                after_s=trio.current_time() - self.failing_since,
            )  # fmt: skip
            self.failing_since = None
        if page.records:
            self._tries = 0
        for record in page.records:
            if record.offset > self._offsets.get(record.key, -1):
                self._offsets[record.key] = record.offset
                self._apply(record)
        if self.end is None:
            self.end = page.end
        elif page.records:
            self.end = max(self.end, page.records[-1].offset + 1)
        if self.end >= page.end:
            self.read_at = sent_at
        self.changed.set()
        self.changed = trio.Event()

    def _note_failure(self, failure):
        if self.failing_since is None:
            self.failing_since = trio.current_time()
            self._log("store_lost", topic=self._topic, reason=str(failure))
