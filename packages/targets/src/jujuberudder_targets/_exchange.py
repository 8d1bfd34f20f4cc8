"""One HTTP exchange with a target or another node, streamed in both directions."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import httpcore
from result import Err, Ok

from jujuberudder_core import Failure

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 30.0


class Outgoing(NamedTuple):
    """A request to send.

    Parameters
    ----------
    address : str
        ``host:port``.
    method, path : bytes
        ``path`` with its query string.
    headers : list of (bytes, bytes)
    body : async iterator of bytes
    before_first_byte : callable
        Called right before the first byte is sent; returns the reason why the request
        must not be sent any more, or None.
    """

    address: str
    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes]
    before_first_byte: Callable[[], str | None] = lambda: None


class Answer(NamedTuple):
    """Status, headers and body of an answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes]


class _Stopped(Exception):
    """The check right before the first byte failed."""


def make_pool(connections):
    """Return a connection pool with a limit on connections in total."""
    return httpcore.AsyncConnectionPool(
        max_connections=connections, keepalive_expiry=KEEPALIVE_S
    )


@asynccontextmanager
async def exchange(pool, outgoing, step):
    """Send a request and yield its answer while the connection is held.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
    outgoing : Outgoing
    step : str
        Named in failures.

    Yields
    ------
    answer : Result[Answer, Failure]
        ``maybe_done`` of a failure is False only while no byte was sent.
    """
    sent = False

    async def trace(name, info):
        nonlocal sent
        if name.endswith("send_request_headers.started"):
            reason = outgoing.before_first_byte()
            if reason is not None:
                raise _Stopped(reason)
            sent = True

    host, _, port = outgoing.address.rpartition(":")
    request = httpcore.Request(
        outgoing.method,
        httpcore.URL(
            scheme=b"http", host=host.encode(), port=int(port), target=outgoing.path
        ),
        headers=outgoing.headers,
        content=outgoing.body,
        extensions={"trace": trace, "timeout": {"connect": CONNECT_TIMEOUT_S}},
    )
    try:
        response = await pool.handle_async_request(request)
    except (
        _Stopped,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.PoolTimeout,
    ) as error:
        yield Err(Failure(step, outgoing.address, repr(error), sent))
        return
    try:
        yield Ok(Answer(response.status, response.headers, response.stream))
    finally:
        await response.aclose()
