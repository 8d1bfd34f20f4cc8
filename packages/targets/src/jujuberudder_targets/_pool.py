"""Pool of idle connections to targets and other nodes."""

import httpcore

from ._network import WatchedBackend

CONNECT_TIMEOUT_S = 1.0
# Shorter than the keep-alive time-out of common servers, so that the pool closes first.
KEEPALIVE_S = 4.0
MAX_IDLE_PER_ADDRESS = 100


class ConnectionPool:
    """Idle connections by address, the most recently used one first.

    httpcore's own pool scans all its connections and requests on each request. This
    pool does not limit the connections in use, because admission does.
    """

    def __init__(self):
        self._backend = WatchedBackend()
        self._idle = {}

    async def take(self, address):
        """Return an idle connection, or open a new one.

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
        # A placeholder origin: the connection is already open, and requests name none.
        return httpcore.AsyncHTTP11Connection(ORIGIN, stream, KEEPALIVE_S)

    async def put(self, address, connection):
        """Keep a connection for reuse, or close it if its state is uncertain.

        A connection is reusable after a complete exchange without trailing data.
        """
        idle = self._idle.setdefault(address, [])
        if (
            not connection.is_idle()
            or _has_trailing_data(connection)
            or len(idle) >= MAX_IDLE_PER_ADDRESS
        ):
            await connection.aclose()
            return
        idle.append(connection)
        while idle[0].has_expired():
            await idle.pop(0).aclose()
            if not idle:
                return


def _has_trailing_data(connection):
    """Return whether the peer sent data after its response.

    The data would be parsed as the response to the next request. httpcore does not
    expose it, so this reads the state of its h11 parser.
    """
    data, _ = connection._h11_state.trailing_data
    return bool(data)


ORIGIN = httpcore.Origin(b"http", b"", 80)
