"""TCP connection whose short sends take neither a wait nor a checkpoint."""

import fcntl
import socket
import struct
import termios

import trio

from jujuberudder_base import is_ended


class TcpStream:
    """A connected TCP socket, with the errors of ``trio.SocketStream``.

    ``trio.SocketStream`` reschedules its task on each send. A response usually fits in
    the buffer of the socket, and a node sends two messages for each request.

    Parameters
    ----------
    stream : trio.SocketStream
        Its socket is taken over.
    """

    def __init__(self, stream):
        self._socket = socket.socket(fileno=stream.socket.detach())
        self._socket.setblocking(False)

    @property
    def socket(self):
        """The socket, for checks of its state."""
        return self._socket

    @property
    def ended(self):
        """Whether the other end has closed the connection or it is broken."""
        return is_ended(self._socket)

    @property
    def unreceived_bytes(self):
        """Bytes that the other end has not acknowledged; 0 if that is not known."""
        try:
            size = fcntl.ioctl(self._socket, termios.TIOCOUTQ, bytes(4))
        except OSError:
            return 0
        return struct.unpack("i", size)[0]

    async def wait_readable(self):
        """Wait until bytes have arrived, or the other end has closed the connection."""
        await trio.lowlevel.wait_readable(self._socket)

    async def receive_some(self, max_bytes):
        """Wait for bytes and return them; none at the end of the stream.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
        """
        while True:
            self._check_open()
            await trio.lowlevel.wait_readable(self._socket)
            try:
                return self._socket.recv(max_bytes)
            except BlockingIOError:
                continue
            except OSError as error:
                raise _broken(error) from error

    async def send_all(self, data):
        """Send all bytes; a checkpoint only if they do not fit in the buffer.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
        """
        with memoryview(data) as view:
            sent_bytes = 0
            while sent_bytes < len(view):
                sent_bytes += self.send_some(view[sent_bytes:])
                if sent_bytes < len(view):
                    await trio.lowlevel.wait_writable(self._socket)

    def send_some(self, data):
        """Send without waiting and return the number of bytes sent.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
        """
        self._check_open()
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise _broken(error) from error

    def end_sending(self):
        """End the sending side of the connection.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
        """
        self._check_open()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise _broken(error) from error

    def discard_received(self, max_bytes):
        """Discard bytes that have arrived, without a wait."""
        if self._socket.fileno() >= 0:
            try:
                self._socket.recv(max_bytes)
            except OSError:
                pass  # No bytes have arrived, or the connection is broken.

    def close(self):
        """Close the connection; a task that waits for it gets an error."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def _check_open(self):
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("this connection was closed")


def _broken(error):
    return trio.BrokenResourceError(f"socket connection broken: {error}")
