"""HTTP exchange with a target or another node, streamed in both directions."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import httpcore
import trio
from result import Err, Ok

from jujuberudder_core import Failure

from ._network import InFlightRequest, set_in_flight

BODILESS_STATUSES = (204, 304)
TRANSPORT_ERRORS = (
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
    method : bytes
    path : bytes
        Path with its query string.
    body : async iterator of bytes
    before_first_byte : callable
        Called immediately before the first byte is sent. Returns a Result with the
        headers, or with the reason why the request must no longer be sent.
    body_complete : bool
        Whether the whole body is buffered. If not, the connection is watched for a
        response that arrives before the end of the body.
    expect : bool
        Whether to wait for ``100 Continue`` before the body is read and sent.
    """

    address: str
    method: bytes
    path: bytes
    body: AsyncIterator[bytes]
    before_first_byte: Callable[[], Any]
    body_complete: bool = True
    expect: bool = False


class TargetResponse(NamedTuple):
    """Status, headers and body of a response.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
    body : async iterator of bytes
    framed : bool
        Whether the framing distinguishes the end of the body from a lost connection.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes]
    framed: bool


@asynccontextmanager
async def exchange(pool, outgoing, step):
    """Send a request and yield its response, holding the connection meanwhile.

    Parameters
    ----------
    pool : ConnectionPool
    outgoing : TargetRequest
    step : str
        Step named in failures. A failure of ``before_first_byte`` names "check".

    Yields
    ------
    response : Result[TargetResponse, Failure]
        ``may_have_run`` of a failure is False only if no byte was sent, or if the peer
        did not request the body with ``100 Continue``: a node does not execute a
        request before it has requested its body.
    """
    sent = False
    in_flight = InFlightRequest(body_allowed=not outgoing.expect)
    try:
        connection = await pool.take(outgoing.address)
        ready = outgoing.before_first_byte()
        if ready.is_ok():
            sent = True
            response = await _send(connection, outgoing, ready.ok_value, in_flight)
    except TRANSPORT_ERRORS as error:
        may_have_run = sent and in_flight.body_allowed
        yield Err(Failure(step, outgoing.address, _describe(error), may_have_run))
        return
    if ready.is_err():
        await pool.put(outgoing.address, connection)
        yield Err(Failure("check", outgoing.address, ready.err_value))
        return
    try:
        yield Ok(_to_response(outgoing.method, response))
    finally:
        # Shielded so that a cancelled exchange still closes its connection.
        with trio.CancelScope(shield=True):
            await response.aclose()
            await pool.put(outgoing.address, connection)


def _describe(error):
    return f"{type(error).__name__} {error}".strip()


def _to_response(method, response):
    names = {name.lower() for name, _ in response.headers}
    framed = bool(names & {b"content-length", b"transfer-encoding"})
    bodiless = method == b"HEAD" or response.status in BODILESS_STATUSES
    return TargetResponse(
        response.status, response.headers, response.stream, framed or bodiless
    )


async def _send(connection, outgoing, headers, in_flight):
    target = httpcore.URL(scheme=b"http", host=b"", port=None, target=outgoing.path)
    body = outgoing.body
    if not outgoing.body_complete:
        body = _body_until_response(body, in_flight)
    request = httpcore.Request(outgoing.method, target, headers=headers, content=body)
    if outgoing.body_complete:
        return await connection.handle_async_request(request)
    return await _send_watched(connection, request, in_flight)


async def _body_until_response(body, in_flight):
    while True:
        try:
            yield await in_flight.run_until_response(in_flight.next_chunk, body)
        except StopAsyncIteration:
            return


async def _send_watched(connection, request, in_flight):
    """Send a request and watch its connection for an early response."""
    set_in_flight(in_flight)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(in_flight.watch)
            try:
                return await connection.handle_async_request(request)
            except Exception as error:
                # Raised below, because the nursery wraps exceptions in a group.
                send_error = error
            finally:
                nursery.cancel_scope.cancel()
    finally:
        set_in_flight(None)
    raise send_error
