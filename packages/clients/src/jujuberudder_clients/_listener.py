"""Serves an ASGI application with hypercorn inside the trio loop."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

GRACEFUL_TIMEOUT_S = 60.0
HEAD_MAX_BYTES = 32 * 1024
BACKLOG = 1024


async def listen(app, address, stopping, task_status=trio.TASK_STATUS_IGNORED):
    """Serve until ``stopping`` is set, then finish the requests in flight.

    Parameters
    ----------
    app : ASGI application
    address : str
        ``host:port``; port 0 takes a free one.
    stopping : trio.Event
    task_status : trio.TaskStatus
        Started with the address that is listened on.
    """
    config = Config()
    config.bind = [address]
    config.backlog = BACKLOG
    config.errorlog = None
    config.accesslog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.h11_max_incomplete_size = HEAD_MAX_BYTES
    config.include_server_header = False
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(_serve, app, config, stopping)
        task_status.started(binds[0].removeprefix("http://"))


async def _serve(app, config, stopping, task_status):
    await serve(
        app,
        config,
        shutdown_trigger=stopping.wait,
        task_status=task_status,
        mode="asgi",
    )
