"""Frames on a TCP connection between two nodes."""

import contextlib
import math
import socket

import trio

from jujuberudder_base import is_ended

from ._frames import (
    BODY_PART_BYTES,
    BodyPart,
    FrameBuffer,
    encode_frame,
)
from ._http import READ_BYTES
from ._memory import STALL_S

# Maximum number of bytes that are passed to the system at once.
WRITE_BYTES = 262144
# Number of queued bytes below which the next part of a body is queued.
QUEUED_PARTS_BYTES = 2 * BODY_PART_BYTES


class FrameStream:
    """Sends and receives frames.

    The socket is used directly: a small frame usually fits in its buffer, so that
    sending it takes neither a wait nor another task. At 88 VMs a node sends and
    receives 270 pings and pongs a second.

    Parameters
    ----------
    stream : trio.SocketStream
        Its socket is taken over.
    account : MemoryAccount, default=None
        Counts the bytes of queued frames.
    pacer : LinkPacer, default=None
        Limits the rate at which long bodies are sent.

    Attributes
    ----------
    open_bodies : int
        Number of replies whose body is still to be sent.
    """

    def __init__(self, stream, account=None, pacer=None):
        self._socket = socket.socket(fileno=stream.socket.detach())
        self._socket.setblocking(False)
        self._frames = FrameBuffer()
        self._unsent = bytearray()
        # Bytes of all frames that were accepted, and those handed to the system.
        self._accepted_bytes = self._sent_bytes = 0
        self._unsent_event = trio.Event()
        # Set when queued bytes have been sent, or cannot be sent any more.
        self._sent_event = trio.Event()
        self._send_error = None
        self._account, self._pacer = account, pacer
        self._part_bytes = BODY_PART_BYTES if pacer is None else pacer.part_bytes
        self.open_bodies = 0

    @property
    def has_unsent(self):
        """Whether frames are still to be sent, and the connection is not broken."""
        return bool(self._unsent or self.open_bodies) and self._send_error is None

    def _count_unsent(self, size):
        if self._account is not None:
            self._account.count_unsent(size)

    @property
    def ended(self):
        """Whether either end has closed or reset the connection.

        Frames that arrived before that may still wait to be received. An error that the
        system has to report is left for the next send or receive.
        """
        return self._send_error is not None or is_ended(self._socket)

    def send(self, frame):
        """Send or queue a frame; never waits.

        If the connection is broken, the frame is dropped, and `receive` raises after
        the frames that have arrived.

        Returns
        -------
        position : int
            End of the frame in the bytes that are sent, for ``has_sent``.
        """
        data = encode_frame(frame)
        if self._pacer is not None and not isinstance(frame, BodyPart):
            self._pacer.count(len(data))
        position = self._accepted_bytes + len(data)
        if self._send_error is not None:
            return position  # Beyond all that was or will be sent.
        self._accepted_bytes = position
        sent_bytes = 0 if self._unsent else self._send_some(data)
        if sent_bytes < len(data):
            self._unsent += data[sent_bytes:]
            self._count_unsent(len(data) - sent_bytes)
            self._unsent_event.set()
        return position

    def has_sent(self, position):
        """Whether all bytes up to a position were handed to the system.

        The peer cannot have read a frame of which a part was not.
        """
        return self._sent_bytes >= position

    async def send_body(self, call_id, body, wanted):
        """Send a body in parts, as fast as the other node receives them.

        Parameters
        ----------
        call_id : int
        body : bytes-like
        wanted : callable
            Returns whether the rest of the body is still to be sent.

        Returns
        -------
        position : float
            End of the last part, for ``has_sent``; infinite if it was not queued.
        """
        paced = None if self._pacer is None else self._pacer.begin(len(body))
        with paced or contextlib.nullcontext(), memoryview(body) as view:
            for start in range(0, len(view), self._part_bytes):
                if start:
                    await trio.lowlevel.checkpoint()
                part = bytes(view[start : start + self._part_bytes])
                if paced is not None:
                    await paced.wait(len(part))
                while len(self._unsent) >= QUEUED_PARTS_BYTES:
                    await self._wait_sent(paced)
                if self._send_error is not None or not wanted():
                    return math.inf
                position = self.send(BodyPart(call_id, part))
        # There is no checkpoint after the last part: the connection might end in it,
        # before the caller knows this position.
        return position

    async def _wait_sent(self, paced):
        """Wait until queued bytes have been sent, or cannot be sent any more.

        While the other node receives nothing for long, its body is not counted as one
        that others have to wait for.
        """
        sent_event = self._sent_event
        with trio.move_on_after(STALL_S):
            await sent_event.wait()
        if not sent_event.is_set():
            with contextlib.nullcontext() if paced is None else paced.stalled():
                await sent_event.wait()

    def _send_some(self, data):
        """Send without waiting and return the number of bytes sent."""
        try:
            sent_bytes = self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._send_error = error
            return 0
        self._sent_bytes += sent_bytes
        return sent_bytes

    async def run_writer(self):
        """Send queued frames until cancelled or until a send fails."""
        while self._send_error is None:
            await self._unsent_event.wait()
            self._unsent_event = trio.Event()
            while self._unsent and self._send_error is None:
                await trio.lowlevel.wait_writable(self._socket)
                with memoryview(self._unsent)[:WRITE_BYTES] as data:
                    sent_bytes = self._send_some(data)
                del self._unsent[:sent_bytes]
                self._count_unsent(-sent_bytes)
                self._notify_sent()
        self._drop_unsent()
        # What has arrived is still read, and then the end.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def _drop_unsent(self):
        """Drop queued frames, which cannot be sent any more."""
        self._count_unsent(-len(self._unsent))
        self._unsent.clear()
        self._notify_sent()

    def _notify_sent(self):
        self._sent_event.set()
        self._sent_event = trio.Event()

    async def receive(self):
        """Wait for bytes and return the frames that are then complete.

        Returns
        -------
        list of Frame, or None if the peer closed the connection

        Raises
        ------
        trio.BrokenResourceError
        FrameError, msgspec.MsgspecError
            As by ``FrameBuffer.feed``.
        """
        await trio.lowlevel.wait_readable(self._socket)
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return []
        except OSError as error:
            raise _broken(error) from error
        if data:
            return self._frames.feed(data)
        # The system reports an error once, so that a read after a failed send sees an
        # end of the stream.
        if self._send_error is not None:
            raise _broken(self._send_error) from self._send_error
        return None

    def end_sending(self):
        """Send no more frames; those of the peer are still received.

        The peer closes its connection after it has received all that was sent.
        """
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def close(self):
        """Close the connection without waiting for queued frames."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()
        self._send_error = self._send_error or ConnectionError("closed")
        self._drop_unsent()


def _broken(error):
    return trio.BrokenResourceError(f"socket connection broken: {error}")
