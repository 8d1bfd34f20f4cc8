"""Request/reply exchange of control messages over pynng."""

import pynng
import trio
from result import Err

from jujuberudder_core import Failure

from ._messages import Refused, decode_message, encode_message

CALL_TIMEOUT_S = 0.5
MAX_CONCURRENT_REPLIES = 8
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
MAX_MESSAGE_BYTES = 1 << 20


class Channel:
    """Client side of the control messages, with one socket per address.

    Parameters
    ----------
    overrides : dict of str to str
        Address to dial for an advertised address, where they differ.
    """

    def __init__(self, overrides=None):
        self._overrides = overrides or {}
        self._sockets = {}

    def _socket(self, address):
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
                recv_max_size=MAX_MESSAGE_BYTES,
            )
            dialled_address = self._overrides.get(address, address)
            socket.dial(f"tcp://{dialled_address}", block=False)
            self._sockets[address] = socket
        return socket

    async def call(self, address, message, timeout_s=CALL_TIMEOUT_S):
        """Send a request and wait for its reply.

        Parameters
        ----------
        address : str
            Advertised control address, ``host:port``.
        message : NamedTuple
        timeout_s : float
            Time to wait for the reply, in seconds.

        Returns
        -------
        reply : Result[NamedTuple, Failure]
        """
        step = type(message).__name__.lower()
        try:
            with trio.move_on_after(timeout_s):
                with self._socket(address).new_context() as context:
                    await context.asend(encode_message(message))
                    return decode_message(await context.arecv(), address)
        except pynng.NNGException as error:
            return Err(Failure(step, address, repr(error), True))
        return Err(Failure(step, address, f"no reply within {timeout_s} s", True))

    def forget(self, address):
        """Close the socket to an address that is no longer in use."""
        socket = self._sockets.pop(address, None)
        if socket is not None:
            socket.close()

    def close(self):
        """Close all sockets."""
        for address in list(self._sockets):
            self.forget(address)


class ControlServer:
    """Server that replies to control messages.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 selects a free port.
    handlers : dict of type to async callable
        By message class; a handler is called with the message and returns the reply.
    log : callable
    """

    def __init__(self, address, handlers, log):
        self._handlers = handlers
        self._log = log
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(f"tcp://{address}")

    @property
    def address(self):
        """The address that the server listens on, ``host:port``."""
        return str(self._socket.listeners[0].local_address)

    async def run(self):
        """Reply to messages until cancelled, then close the socket."""
        try:
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_CONCURRENT_REPLIES):
                    nursery.start_soon(self._serve)
        finally:
            self._socket.close()

    async def _serve(self):
        with self._socket.new_context() as context:
            while True:
                message = decode_message(await context.arecv(), "peer")
                await context.asend(encode_message(await self._reply(message)))

    async def _reply(self, message):
        if message.is_err():
            self._log("message_refused", error=message.err_value)
            return Refused(message.err_value.reason)
        handler = self._handlers.get(type(message.ok_value))
        if handler is None:
            return Refused("not a request")
        return await handler(message.ok_value)
