"""One HTTP exchange with a target or another node, streamed in both directions."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import httpcore
import trio
from result import Err, Ok

from jujuberudder_core import Failure

from ._network import Sending, use

BODILESS = (204, 304)
ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class TargetRequest(NamedTuple):
    """A request to send.

    Parameters
    ----------
    address : str
        ``host:port``.
    method, path : bytes
        ``path`` with its query string.
    body : async iterator of bytes
    whole : bool
        Whether the body is at hand; otherwise the answer may come before its end.
    expect : bool
        Whether to wait for ``100 Continue`` before the body is read and sent.
    before_first_byte : callable
        Called right before the first byte is sent; returns the headers, or the reason
        why the request must not be sent any more.
    """

    address: str
    method: bytes
    path: bytes
    body: AsyncIterator[bytes]
    before_first_byte: Callable[[], Any]
    whole: bool = True
    expect: bool = False


class TargetResponse(NamedTuple):
    """Status, headers and body of an answer.

    Parameters
    ----------
    framed : bool
        Whether the end of the body can be told from a lost connection.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes]
    framed: bool


@asynccontextmanager
async def exchange(pool, outgoing, step):
    """Send a request and yield its answer while the connection is held.

    Parameters
    ----------
    pool : ConnectionPool
    outgoing : TargetRequest
    step : str
        Named in failures; those of the check right before the first byte say "check".

    Yields
    ------
    answer : Result[TargetResponse, Failure]
        ``may_have_run`` of a failure is False only while no byte was sent, or while the
        peer had not asked for the body: a node that expects one runs nothing before.
    """
    sent = False
    sending = Sending(invited=not outgoing.expect)
    try:
        connection = await pool.take(outgoing.address)
        ready = outgoing.before_first_byte()
        if ready.is_ok():
            sent = True
            response = await _send(connection, outgoing, ready.ok_value, sending)
    except ERRORS as error:
        may_have_run = sent and sending.invited
        yield Err(Failure(step, outgoing.address, _describe(error), may_have_run))
        return
    if ready.is_err():
        await pool.put(outgoing.address, connection)
        yield Err(Failure("check", outgoing.address, ready.err_value))
        return
    try:
        yield Ok(_answer(outgoing.method, response))
    finally:
        # A cancelled exchange must still close its connection.
        with trio.CancelScope(shield=True):
            await response.aclose()
            await pool.put(outgoing.address, connection)


def _describe(error):
    return f"{type(error).__name__} {error}".strip()


def _answer(method, response):
    names = {name.lower() for name, _ in response.headers}
    framed = bool(names & {b"content-length", b"transfer-encoding"})
    bodiless = method == b"HEAD" or response.status in BODILESS
    return TargetResponse(
        response.status, response.headers, response.stream, framed or bodiless
    )


async def _send(connection, outgoing, headers, sending):
    target = httpcore.URL(scheme=b"http", host=b"", port=None, target=outgoing.path)
    body = outgoing.body
    if not outgoing.whole:
        body = _until_answered(body, sending)
    request = httpcore.Request(outgoing.method, target, headers=headers, content=body)
    if outgoing.whole:
        return await connection.handle_async_request(request)
    return await _send_watched(connection, request, sending)


async def _until_answered(body, sending):
    while True:
        try:
            yield await sending.unless_answered(sending.next_chunk, body)
        except StopAsyncIteration:
            return


async def _send_watched(connection, request, sending):
    """Send a request while its connection is watched for an early answer."""
    use(sending)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sending.watch)
            try:
                return await connection.handle_async_request(request)
            except Exception as error:
                # Raised below: what leaves the nursery would be wrapped in a group.
                failed = error
            finally:
                nursery.cancel_scope.cancel()
    finally:
        use(None)
    raise failed
