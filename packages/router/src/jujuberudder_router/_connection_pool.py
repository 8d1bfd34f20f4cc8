"""Connections to one address that are kept open between exchanges."""

import trio

from ._http import Connection, ExchangeError, dial, find_header

# Seconds left off the idle time that a peer states, so that its close never crosses a
# request: a link delay and a late timer.
IDLE_MARGIN_S = 1.0
# Idle time assumed where a peer states none; servers of the users close after 10 s.
IDLE_DEFAULT_S = 5.0
# After a reset of an idle connection: the share of its idle time that others may idle,
# and the seconds for which that holds, before longer idle times are tried again.
RESET_SHARE, RESET_HOLDS_S = 0.5, 10.0


class ConnectionPool:
    """Idle connections to one address; the latest used goes out first.

    Parameters
    ----------
    address : str
    connect_s, user_timeout_s : float
        Seconds to wait for a connection, and for unacknowledged bytes.
    """

    def __init__(self, address, connect_s, user_timeout_s):
        self.address = address
        self._connect_s = connect_s
        self._user_timeout_s = user_timeout_s
        self._idle = []
        self._reset_limit_s, self._reset_until = 0.0, -1.0
        self.opened = 0

    def close(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self):
        now = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if (
                now - connection.idle_since < self._idle_limit(connection, now)
                and not connection.stale()
            ):
                return connection
            connection.close()
        return None

    def _idle_limit(self, connection, now):
        limit_s = connection.idle_limit_s
        return min(limit_s, self._reset_limit_s) if now < self._reset_until else limit_s

    def _note_reset(self, idle_s):
        """Note that a connection that was idle for some seconds was of no use.

        A peer may forget idle connections sooner than it states.
        """
        now = trio.current_time()
        limit_s = RESET_SHARE * idle_s
        if now < self._reset_until:
            limit_s = min(limit_s, self._reset_limit_s)
        self._reset_limit_s, self._reset_until = limit_s, now + RESET_HOLDS_S

    async def _open(self, step):
        try:
            stream = await dial(self.address, self._connect_s, self._user_timeout_s)
        except OSError as error:
            raise ExchangeError(
                step, self.address, f"connect: {error}", may_have_run=False
            ) from error
        self.opened += 1
        return Connection(stream, self.address)

    async def exchange(self, data, step, check=None):
        """Send a request on an idle or new connection and return the response.

        Parameters
        ----------
        data : bytes
        step : str
            Named in failures.
        check : callable, default=None
            ``check(response) -> reason or None``; a reason makes the response one
            that does not belong to the request.

        Raises
        ------
        ExchangeError
            ``failure.may_have_run`` tells whether the request may have arrived.
        """
        connection, idle_s = self._take_idle(), None
        if connection is not None:
            idle_s = trio.current_time() - connection.idle_since
        else:
            connection = await self._open(step)
        keep = False
        try:
            try:
                response = await connection.exchange(data, step)
            except ExchangeError:
                if idle_s is not None:
                    self._note_reset(idle_s)
                raise
            reason = check(response) if check else None
            if reason:
                raise ExchangeError(step, self.address, reason)
            keep = response.keep_alive
        finally:
            if keep:
                self._put(connection, response)
            else:
                connection.close()
        return response

    def _put(self, connection, response):
        connection.idle_since = trio.current_time()
        stated = find_header(response.headers, b"keep-alive") or b""
        connection.idle_limit_s = idle_limit(stated)
        self._idle.append(connection)


def idle_limit(stated):
    """Return for how many seconds a connection may idle, from ``Keep-Alive``."""
    for part in stated.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return IDLE_DEFAULT_S
