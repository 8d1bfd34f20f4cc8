"""``python -m jujuberudder_standins.logservice``: serves an in-memory log service."""

import defopt
import trio

from ._listener import serve_app
from ._logservice import LogStandin


def logservice(*, address: str = "127.0.0.1:7100", retention: int | None = None):
    """Serve the stand-in of the log service until it is interrupted.

    Parameters
    ----------
    address : str
        Address to listen on, host:port.
    retention : int or None
        Number of records kept per stream; all if not given.
    """
    run_until_interrupted(LogStandin(retention).app, address)


def run_until_interrupted(app, address):
    """Serve an ASGI application until interrupted; print the bound address."""
    try:
        trio.run(_serve, app, address)
    except* KeyboardInterrupt:
        pass


async def _serve(app, address):
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(serve_app, app, address)
        print(f"listening on {bound}", flush=True)


if __name__ == "__main__":
    defopt.run(logservice)
