"""Serves a stand-in's ASGI application on a free port."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve


async def serve_app(app, address="127.0.0.1:0", task_status=trio.TASK_STATUS_IGNORED):
    """Serve for ever; started with the address that is listened on."""
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
