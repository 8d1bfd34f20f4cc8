"""Appends records and learns their effect by reading them back."""

from typing import NamedTuple

import trio
from result import Err, Ok

from jujuberudder_core import Failure, encode

READ_BACK_S = 3.0
READ_RETRY_S = 0.02


class Applied(NamedTuple):
    """A record that was read back; ``effect`` is False if it was superseded."""

    offset: int
    effect: bool


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
            After a failure with ``maybe_done`` the append may still arrive later; the
            caller decides anew from the state read.
        """
        seen = self._waiting.setdefault(record.id, [])
        appended = await self._client.append(self._stream, encode(record))
        with trio.move_on_after(READ_BACK_S):
            while not seen:
                read = await self._follower.catch_up()
                if seen or (read and appended.is_err()):
                    break
                await trio.sleep(READ_RETRY_S)
        self._waiting.pop(record.id, None)
        if seen:
            return Ok(seen[0])
        if appended.is_err():
            return appended
        return Err(Failure("read back", self._client.address, "timed out", True))
