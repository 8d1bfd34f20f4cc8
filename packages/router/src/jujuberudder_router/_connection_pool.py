"""Pool of keep-alive connections to one address."""

import trio

from ._http import (
    MAX_RESPONSE_BODY_BYTES,
    Connection,
    ExchangeError,
    dial,
    find_header,
)

# Margin subtracted from the idle time-out that a peer announces, so that the peer never
# closes a connection while a request is on its way: covers a link delay and a late
# timer.
IDLE_MARGIN_S = 1.0
# Idle limit for a peer that announces no time-out; the users' servers close idle
# connections after 10 s.
DEFAULT_IDLE_LIMIT_S = 5.0
# After an exchange fails on a connection that was idle, the other connections may idle
# for this share of its idle time. The limit applies for ``RESET_MEMORY_S`` seconds,
# after which longer idle times are tried again.
RESET_IDLE_SHARE, RESET_MEMORY_S = 0.5, 10.0


class ConnectionPool:
    """Idle connections to one address; the most recently used one is reused first.

    Parameters
    ----------
    address : str
    connect_timeout_s : float
        Seconds to wait for a connection.
    user_timeout_s : float
        Seconds after which unacknowledged bytes end a connection.
    max_body_bytes : int
        Maximum length of a response body.
    fail_when_stale : bool, default=False
        Whether an exchange fails if the peer has closed an idle connection too early,
        so that the caller can check whether another process listens there now.
    max_connect_timeout_s : float, default=None
        If given, the wait for a connection doubles after each failure, up to this many
        seconds, until one succeeds.
    max_idle_s : float, default=None
        If given, connections that were idle for longer are not reused.
    """

    def __init__(
        self,
        address,
        connect_timeout_s,
        user_timeout_s,
        max_body_bytes=MAX_RESPONSE_BODY_BYTES,
        max_connect_timeout_s=None,
        fail_when_stale=False,
        max_idle_s=None,
    ):
        self.address = address
        self._max_body_bytes = max_body_bytes
        self._min_connect_timeout_s = self._connect_timeout_s = connect_timeout_s
        self._max_connect_timeout_s = max_connect_timeout_s or connect_timeout_s
        self._user_timeout_s = user_timeout_s
        self._fail_when_stale = fail_when_stale
        self._max_idle_s = float("inf") if max_idle_s is None else max_idle_s
        self._idle = []
        self._reset_limit_s, self._reset_limit_until = 0.0, -1.0
        self.opened = 0

    def close(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self, step):
        now = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if now - connection.idle_since < self._idle_limit(connection, now):
                if not connection.is_stale():
                    return connection
                if self._fail_when_stale:
                    connection.close()
                    self.close()
                    raise ExchangeError(
                        step, self.address, "the idle connection was closed",
                        may_have_run=False,
                    )  # fmt: skip
            connection.close()
        return None

    def _idle_limit(self, connection, now):
        limit_s = connection.idle_limit_s
        return (
            min(limit_s, self._reset_limit_s)
            if now < self._reset_limit_until
            else limit_s
        )

    def _record_reset(self, idle_s):
        """Lower the idle limit after a failure on a connection idle for ``idle_s``.

        A peer may drop idle connections sooner than it announces.
        """
        now = trio.current_time()
        limit_s = RESET_IDLE_SHARE * idle_s
        if now < self._reset_limit_until:
            limit_s = min(limit_s, self._reset_limit_s)
        self._reset_limit_s, self._reset_limit_until = limit_s, now + RESET_MEMORY_S

    async def _connect(self, step):
        try:
            stream = await dial(
                self.address, self._connect_timeout_s, self._user_timeout_s
            )
        except OSError as error:
            self._connect_timeout_s = min(
                2 * self._connect_timeout_s, self._max_connect_timeout_s
            )
            raise ExchangeError(
                step, self.address, f"connect: {error}", may_have_run=False
            ) from error
        self._connect_timeout_s = self._min_connect_timeout_s
        self.opened += 1
        return Connection(stream, self.address, self._max_body_bytes)

    async def exchange(self, data, step, check=None, on_data=None, body=b"", hold=None):
        """Send a request on an idle or new connection and return the response.

        Parameters
        ----------
        data : bytes or callable
            The request, or a function that returns it, called when a connection is
            there.
        step : str
            Name of the step, for failures.
        check : callable, default=None
            ``check(response) -> reason or None``; with a reason, the response is
            discarded and the exchange fails.
        on_data : callable, default=None
            ``on_data(size)``, called whenever bytes of the response arrive.
        body, hold
            As for ``Connection.exchange``.

        Raises
        ------
        ExchangeError
            ``failure.may_have_run`` states whether the peer may have received the
            request.
        """
        connection, idle_s = self._take_idle(step), None
        if connection is not None:
            idle_s = trio.current_time() - connection.idle_since
        else:
            connection = await self._connect(step)
        reusable = False
        try:
            try:
                request = data() if callable(data) else data
                response = await connection.exchange(request, step, on_data, body, hold)
            except ExchangeError:
                if idle_s is not None:
                    self._record_reset(idle_s)
                raise
            reason = check(response) if check else None
            if reason:
                raise ExchangeError(step, self.address, reason)
            reusable = response.keep_alive
        finally:
            if reusable:
                self._return_idle(connection, response)
            else:
                connection.close()
        return response

    async def hedged_exchange(
        self, data, hedge_data, step, hedge_after_s, on_data=None, on_hedge=None
    ):
        """Exchange a request that may be sent twice.

        If no byte of the response has arrived after ``hedge_after_s`` seconds, a second
        request is sent on a new connection, and the first response counts. Open
        connections may have gone silent while new ones work.

        Source: hedged requests in Dean and Barroso, The Tail at Scale, CACM 56 (2013).

        Parameters
        ----------
        data, hedge_data : bytes
            The request, and the second one.
        step, on_data
            As for ``exchange``.
        hedge_after_s : float
        on_hedge : callable, default=None
            ``on_hedge()`` is called when the second request is sent.

        Raises
        ------
        ExchangeError
            No attempt got a response.
        """
        responses, errors = [], []
        # Set when the first attempt gets data or fails.
        first_progress = trio.Event()

        def observe_data(size):
            first_progress.set()
            if on_data is not None:
                on_data(size)

        async def attempt(request):
            try:
                response = await self.exchange(request, step, on_data=observe_data)
            except ExchangeError as error:
                errors.append(error)
                first_progress.set()
                return
            responses.append(response)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt, data)
            with trio.move_on_after(hedge_after_s):
                await first_progress.wait()
            if not first_progress.is_set():
                if on_hedge is not None:
                    on_hedge()
                # Idle connections may be silent as well.
                self.close()
                await attempt(hedge_data)
        if not responses:
            raise errors[-1]
        return responses[0]

    def _return_idle(self, connection, response):
        connection.idle_since = trio.current_time()
        keep_alive_header = find_header(response.headers, b"keep-alive") or b""
        connection.idle_limit_s = min(idle_limit(keep_alive_header), self._max_idle_s)
        self._idle.append(connection)


def idle_limit(keep_alive_header):
    """Return the idle limit in seconds for the value of a ``Keep-Alive`` header."""
    for part in keep_alive_header.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return max(0.0, float(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_LIMIT_S
