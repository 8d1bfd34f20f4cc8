"""Writer that appends records and reads them back to determine their effect."""

import random
from typing import NamedTuple

import trio
from result import Err, Ok

from jujuberudder_core import Failure, encode_record

READ_BACK_TIMEOUT_S = 3.0
READ_RETRY_DELAY_S = 0.02
FOLLOWER_WAIT_MIN_S = 0.05
FOLLOWER_WAIT_ROUND_TRIPS = 2
BACKOFF_MIN_S = 0.1
# When the log recovers while 4,500 nodes are waiting to write, each node retries once
# in 4 to 8 s, which is 4,500 / 6 s = 750 appends per second in total.
BACKOFF_MAX_S = 8.0


class Applied(NamedTuple):
    """A record that was read back; ``effect`` is False if it was superseded.

    ``position`` is the offset of the record plus one. ``sent_at`` is the time at which
    the append was sent, on trio's clock.
    """

    position: int
    effect: bool
    sent_at: float = float("-inf")


class Writer:
    """Writer of one stream that the same process follows.

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

    def observe(self, position, record, effect):
        """Complete the pending `write` of a record that was read and applied.

        Parameters
        ----------
        position : int
            Offset of the record plus one.
        record : NamedTuple
        effect : bool
            Whether the record had an effect on the state.
        """
        results = self._waiting.pop(record.id, None)
        if results is not None:
            results.append(Applied(position, effect))

    async def write(self, record):
        """Append a record once and wait until its effect is known.

        Parameters
        ----------
        record : NamedTuple

        Returns
        -------
        applied : Result[Applied, Failure]
            After a failure with ``may_have_run`` the append may still take effect
            later; the calling code must decide again from the state that it reads.
        """
        await trio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
        results = self._waiting.setdefault(record.id, [])
        sent_at = trio.current_time()
        appended = await self._client.append(self._stream, encode_record(record))
        if appended.is_ok():
            self._follower.record_round_trip(trio.current_time() - sent_at)
        self._update_backoff(appended.is_ok())
        with trio.move_on_after(READ_BACK_TIMEOUT_S):
            while not results:
                if appended.is_ok():
                    await self._wait_for_follower(results)
                if results:
                    break
                caught_up = await self._follower.catch_up()
                if results or (caught_up and appended.is_err()):
                    break
                await trio.sleep(READ_RETRY_DELAY_S)
        self._waiting.pop(record.id, None)
        if results:
            return Ok(results[0]._replace(sent_at=sent_at))
        if appended.is_err():
            return appended
        return Err(Failure("read back", self._client.address, "timed out", True))

    async def _wait_for_follower(self, results):
        # The follower reads the record anyway. A separate read for each append would
        # double the load on a log service that is already slow.
        wait_s = max(
            FOLLOWER_WAIT_MIN_S, FOLLOWER_WAIT_ROUND_TRIPS * self._follower.round_trip_s
        )
        with trio.move_on_after(wait_s):
            while not results:
                await self._follower.wait_for_change()

    def _update_backoff(self, succeeded):
        if succeeded:
            self._backoff_s = 0.0
        else:
            doubled = max(BACKOFF_MIN_S, self._backoff_s * 2)
            self._backoff_s = min(doubled, BACKOFF_MAX_S)
