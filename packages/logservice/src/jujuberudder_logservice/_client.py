"""HTTP client of the log service.

``POST /v1/streams/NAME/records`` appends a record and returns its offset;
``GET /v1/streams/NAME/records?offset=N&limit=N&wait_ms=N`` reads records and waits for
new ones.
"""

from typing import NamedTuple

import httpcore
import msgspec
from result import Err, Ok

from jujuberudder_core import Failure

APPEND_TIMEOUT_S = 3.0
# Time-out of a read in addition to the requested wait.
READ_MARGIN_S = 3.0
READ_LIMIT = 500


class Entry(NamedTuple):
    """One record of a stream."""

    offset: int
    data: str


class Batch(NamedTuple):
    """Records read from a stream.

    ``first`` is the oldest offset that the log service still stores, and ``next`` the
    offset after the newest record.
    """

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
            ``may_have_run`` of a failure is True if the append may have taken effect.
        """
        try:
            response = await self._pool.request(
                "POST",
                self._url(stream),
                content=data.encode(),
                extensions={"timeout": _timeouts(APPEND_TIMEOUT_S)},
            )
            if response.status != 200:
                reason = f"status {response.status}"
                return Err(Failure("append", self._address, reason, True))
            return Ok(msgspec.json.decode(response.content)["offset"])
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Err(Failure("append", self._address, repr(error)))
        except _REQUEST_ERRORS as error:
            return Err(Failure("append", self._address, repr(error), True))

    async def read(self, stream, offset, wait_s=0.0):
        """Read records, starting at an offset.

        Parameters
        ----------
        stream : str
        offset : int
        wait_s : float
            Maximum time in seconds that the service waits for the first record.

        Returns
        -------
        batch : Result[Batch, Failure]
        """
        query = f"?offset={offset}&limit={READ_LIMIT}&wait_ms={int(wait_s * 1000)}"
        try:
            response = await self._pool.request(
                "GET",
                self._url(stream, query),
                extensions={"timeout": _timeouts(wait_s + READ_MARGIN_S)},
            )
            if response.status != 200:
                return Err(Failure("read", self._address, f"status {response.status}"))
            return Ok(msgspec.json.decode(response.content, type=_BatchBody).as_batch())
        except _REQUEST_ERRORS as error:
            return Err(Failure("read", self._address, repr(error)))

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()


class _EntryBody(msgspec.Struct):
    offset: int
    data: str


class _BatchBody(msgspec.Struct):
    first: int
    next: int
    records: list[_EntryBody]

    def as_batch(self):
        entries = [Entry(entry.offset, entry.data) for entry in self.records]
        return Batch(self.first, self.next, entries)


_REQUEST_ERRORS = (
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
