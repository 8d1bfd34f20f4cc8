"""Serves a stand-in's ASGI application on a free port."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve


async def serve_app(app, address="127.0.0.1:0", task_status=trio.TASK_STATUS_IGNORED):
    """Serve an application until cancelled.

    Parameters
    ----------
    app : callable
        ASGI application.
    address : str
        Address to listen on, host:port; port 0 selects a free one.
    task_status : trio.TaskStatus
        Started with the bound address, host:port.
    """
    config = Config()
    config.bind = [address]
    config.errorlog = None
    config.accesslog = None
    config.graceful_timeout = 0
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(_serve, app, config)
        task_status.started(binds[0].removeprefix("http://"))


async def _serve(app, config, task_status):
    await serve(
        app,
        config,
        shutdown_trigger=trio.sleep_forever,
        task_status=task_status,
        mode="asgi",
    )
