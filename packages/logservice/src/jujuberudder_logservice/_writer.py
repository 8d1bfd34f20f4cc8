"""Appends records and learns their effect by reading them back."""

import random
from typing import NamedTuple

import trio
from result import Err, Ok

from jujuberudder_core import Failure, encode_record

READ_BACK_S = 3.0
READ_RETRY_S = 0.02
FOLLOWED_S = 0.05
FOLLOWED_ROUND_TRIPS = 2
BACKOFF_MIN_S = 0.1
# 4,500 nodes that all wait to write then append 4,500 / 6 s = 750 times a second when
# the log returns; each node alone, once in 4 to 8 s.
BACKOFF_MAX_S = 8.0


class Applied(NamedTuple):
    """A record that was read back; ``effect`` is False if it was superseded.

    ``sent_at`` is the time in the runtime's clock at which the append was sent.
    """

    offset: int
    effect: bool
    sent_at: float = float("-inf")


class Writer:
    """Writer of one stream that is followed by the same process.

    Parameters
    ----------
    client : LogClient
    follower : Follower
    stream : str
    """

    def __init__(self, client, follower, stream):
        self._client = client
        self._follower = follower
        self._stream = stream
        self._waiting = {}
        self._backoff_s = 0.0

    def observe(self, offset, record, effect):
        """Tell the writer that a record was read and applied."""
        waiter = self._waiting.pop(record.id, None)
        if waiter is not None:
            waiter.append(Applied(offset, effect))

    async def write(self, record):
        """Append a record once and wait until its effect is known.

        Parameters
        ----------
        record : NamedTuple

        Returns
        -------
        applied : Result[Applied, Failure]
            After a failure with ``may_have_run`` the append may still arrive later; the
            caller decides anew from the state read.
        """
        await trio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
        seen = self._waiting.setdefault(record.id, [])
        sent_at = trio.current_time()
        appended = await self._client.append(self._stream, encode_record(record))
        if appended.is_ok():
            self._follower.note_round_trip(trio.current_time() - sent_at)
        self._note(appended.is_ok())
        with trio.move_on_after(READ_BACK_S):
            while not seen:
                if appended.is_ok():
                    await self._wait_followed(seen)
                if seen:
                    break
                read = await self._follower.catch_up()
                if seen or (read and appended.is_err()):
                    break
                await trio.sleep(READ_RETRY_S)
        self._waiting.pop(record.id, None)
        if seen:
            return Ok(seen[0]._replace(sent_at=sent_at))
        if appended.is_err():
            return appended
        return Err(Failure("read back", self._client.address, "timed out", True))

    async def _wait_followed(self, seen):
        # The follower reads the record anyway; a read of its own for each append
        # doubled the load on a log that was already slow.
        wait_s = max(FOLLOWED_S, FOLLOWED_ROUND_TRIPS * self._follower.round_trip_s)
        with trio.move_on_after(wait_s):
            while not seen:
                await self._follower.wait_for_change()

    def _note(self, succeeded):
        if succeeded:
            self._backoff_s = 0.0
        else:
            doubled = max(BACKOFF_MIN_S, self._backoff_s * 2)
            self._backoff_s = min(doubled, BACKOFF_MAX_S)
