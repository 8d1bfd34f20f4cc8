"""Idle connections to targets and other nodes."""

import httpcore

from ._network import Backend

CONNECT_TIMEOUT_S = 1.0
# Shorter than common servers keep an idle connection, so that this side closes first.
KEEPALIVE_S = 4.0
MAX_IDLE = 100


class ConnectionPool:
    """Idle connections by address, the one used last first.

    httpcore's own pool goes through all connections and requests on each request; here
    admission limits the connections in use.
    """

    def __init__(self):
        self._backend = Backend()
        self._idle = {}

    async def take(self, address):
        """Return an idle connection, or a new one.

        Parameters
        ----------
        address : str
            ``host:port``.

        Returns
        -------
        connection : httpcore.AsyncHTTP11Connection

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = address.rpartition(":")
        stream = await self._backend.connect_tcp(
            host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        # Requests carry no origin: the address of the connection is the only one.
        return httpcore.AsyncHTTP11Connection(ORIGIN, stream, KEEPALIVE_S)

    async def put(self, address, connection):
        """Keep a connection whose exchange is complete; close one in doubt."""
        idle = self._idle.setdefault(address, [])
        if not connection.is_idle() or _has_more(connection) or len(idle) >= MAX_IDLE:
            await connection.aclose()
            return
        idle.append(connection)
        while idle[0].has_expired():
            await idle.pop(0).aclose()
            if not idle:
                return


def _has_more(connection):
    """Return whether the peer sent more than its answer.

    What follows would be taken for the answer to the next request. httpcore does not
    tell, so this looks into its parser.
    """
    data, _ = connection._h11_state.trailing_data
    return bool(data)


ORIGIN = httpcore.Origin(b"http", b"", 80)
