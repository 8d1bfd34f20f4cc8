"""HTTP client of the log service.

``POST /v1/streams/NAME/records`` appends one record and answers its offset;
``GET /v1/streams/NAME/records?offset=N&limit=N&wait_ms=N`` reads, waiting for new ones.
"""

from typing import NamedTuple

import httpcore
import msgspec
from result import Err, Ok

from jujuberudder_core import Failure

APPEND_TIMEOUT_S = 3.0
READ_MARGIN_S = 3.0
READ_LIMIT = 500


class Entry(NamedTuple):
    """One record of a stream."""

    offset: int
    data: str


class Batch(NamedTuple):
    """Records read: ``first`` is the oldest offset kept, ``next`` the end."""

    first: int
    next: int
    records: list[Entry]


class LogClient:
    """Client of one log service.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(max_connections=8)

    @property
    def address(self):
        """Address of the log service."""
        return self._address

    def _url(self, stream, query=""):
        return f"http://{self._address}/v1/streams/{stream}/records{query}"

    async def append(self, stream, data):
        """Append a record.

        Returns
        -------
        offset : Result[int, Failure]
            ``may_have_run`` of a failure tells whether the write may have taken effect.
        """
        try:
            answer = await self._pool.request(
                "POST",
                self._url(stream),
                content=data.encode(),
                extensions={"timeout": _timeouts(APPEND_TIMEOUT_S)},
            )
            if answer.status != 200:
                reason = f"status {answer.status}"
                return Err(Failure("append", self._address, reason, True))
            return Ok(msgspec.json.decode(answer.content)["offset"])
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Err(Failure("append", self._address, repr(error)))
        except _ERRORS as error:
            return Err(Failure("append", self._address, repr(error), True))

    async def read(self, stream, offset, wait_s=0.0):
        """Read records from an offset on.

        Parameters
        ----------
        stream : str
        offset : int
        wait_s : float
            How long the service may wait for the first record.

        Returns
        -------
        batch : Result[Batch, Failure]
        """
        query = f"?offset={offset}&limit={READ_LIMIT}&wait_ms={int(wait_s * 1000)}"
        try:
            answer = await self._pool.request(
                "GET",
                self._url(stream, query),
                extensions={"timeout": _timeouts(wait_s + READ_MARGIN_S)},
            )
            if answer.status != 200:
                return Err(Failure("read", self._address, f"status {answer.status}"))
            return Ok(msgspec.json.decode(answer.content, type=_BatchFile).as_batch())
        except _ERRORS as error:
            return Err(Failure("read", self._address, repr(error)))

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()


class _EntryFile(msgspec.Struct):
    offset: int
    data: str


class _BatchFile(msgspec.Struct):
    first: int
    next: int
    records: list[_EntryFile]

    def as_batch(self):
        entries = [Entry(entry.offset, entry.data) for entry in self.records]
        return Batch(self.first, self.next, entries)


_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.PoolTimeout,
    msgspec.MsgspecError,
    KeyError,
    OSError,
)


def _timeouts(seconds):
    return {"connect": 1.0, "read": seconds, "write": seconds, "pool": seconds}
