"""HTTP listener for clients or nodes, with a limit on connections per address."""

from collections import Counter

import trio
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import wrap_app

from jujuberudder_core import is_readable, new_id

from ._connection import Connection
from ._request import HEAD_MAX_BYTES

GRACEFUL_TIMEOUT_S = 60.0
BACKLOG = 1024
# Maximum time for accepting connections that are open already when the node stops.
ACCEPT_PENDING_S = 1.0
# Body messages, of at most READ_BYTES each, that are queued for the application.
MAX_QUEUED_CHUNKS = 2
TOO_MANY_CONNECTIONS_RESPONSE = (
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
    "Retry-After: 1\r\nJujuberudder-Outcome: not-run\r\n"
    "Jujuberudder-Reason: too many connections from this address\r\n"
    "Jujuberudder-Request-Id: {}\r\n\r\n"
)


async def serve_http(
    app, address, stopping, per_client=None, task_status=trio.TASK_STATUS_IGNORED
):
    """Serve until ``stopping`` is set, then complete the requests in flight.

    Parameters
    ----------
    app : ASGI application
    address : str
        ``host:port``; port 0 selects a free port.
    stopping : trio.Event
    per_client : int or None
        Maximum number of connections per client address; no limit if None.
    task_status : trio.TaskStatus
        Started with the bound address.
    """
    config = Config()
    config.errorlog = None
    config.accesslog = None
    config.h11_max_incomplete_size = HEAD_MAX_BYTES
    config.max_app_queue_size = MAX_QUEUED_CHUNKS
    config.include_server_header = False
    wrapped = wrap_app(app, config.wsgi_max_body_size, "asgi")
    context = WorkerContext(None)
    connections = set()
    counts = Counter()

    async def serve(stream):
        host = stream.socket.getpeername()[0]
        if per_client is not None and counts[host] >= per_client:
            await _refuse_connection(stream)
            return
        connection = Connection(stream, wrapped, config, context)
        connections.add(connection)
        counts[host] += 1
        try:
            await connection.run()
        finally:
            counts[host] -= 1
            connections.discard(connection)

    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    bound = listeners[0].socket.getsockname()
    async with trio.open_nursery() as handlers:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(_accept, serve, listeners, handlers)
            task_status.started(f"{bound[0]}:{bound[1]}")
            await stopping.wait()
            await _accept_pending(listeners)
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        for connection in connections:
            connection.stop()
        handlers.cancel_scope.deadline = trio.current_time() + GRACEFUL_TIMEOUT_S


async def _accept(serve, listeners, handlers):
    async def guarded(stream):
        # An error on one connection must not end the listener.
        try:
            await serve(stream)
        except OSError:
            await trio.aclose_forcefully(stream)

    await trio.serve_listeners(guarded, listeners, handler_nursery=handlers)


async def _accept_pending(listeners):
    """Wait until the listeners have accepted all connections that are open.

    Closing a listener resets those that it has not accepted.
    """
    with trio.move_on_after(ACCEPT_PENDING_S):
        while any(is_readable(listener.socket) for listener in listeners):
            await trio.sleep(0)


async def _refuse_connection(stream):
    try:
        with trio.move_on_after(1):
            await stream.send_all(
                TOO_MANY_CONNECTIONS_RESPONSE.format(new_id()).encode()
            )
            await stream.send_eof()
    except trio.BrokenResourceError:
        pass
    await trio.aclose_forcefully(stream)
