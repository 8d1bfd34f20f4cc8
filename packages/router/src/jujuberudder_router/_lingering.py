"""Closes of connections whose client may not have received all yet.

The system resets a connection on which bytes arrive after its close, or that is closed
before all that arrived was read. A reset drops what is not sent yet, and the client may
lose what it has not read (RFC 9112, section 9.6). So the node ends its sending side
first, and closes when the client has closed, or gives it up after a while.

The load that this module handles is a stop: all clients of a node at a time, of which
some read slowly, send requests ahead, or never close.
"""

import trio

from ._http import READ_BYTES

# Time after which a client that receives nothing more, though it may still send, counts
# as one that does not close.
LINGER_S = 2.0
# Time after which a connection is closed although its client still receives: within it
# a client must receive a response.
MAX_LINGER_S = 30.0
# Interval of the checks for progress.
LINGER_POLL_S = 0.1
# Maximum number of connections that wait for their clients; beyond it, the one that has
# waited longest is closed. Each has a descriptor.
MAX_LINGERING = 512
# Maximum number of bytes that are read at once before a close without a wait.
FINAL_READ_BYTES = 1048576


class LingeringConnections:
    """Connections that are closed once their clients have received all.

    Parameters
    ----------
    log : callable
    """

    def __init__(self, log):
        self._log = log
        # The oldest first.
        self._scopes = []

    def __len__(self):
        return len(self._scopes)

    async def close(self, stream, discard):
        """Close a connection when its client has, or does not for too long.

        Parameters
        ----------
        stream : TcpStream
        discard : bool
            Whether what the client still sends is read and discarded, as is due after a
            last response. Otherwise a request that arrives now stays unread, so that
            the client may send it again.
        """
        scope = trio.CancelScope()
        self._scopes.append(scope)
        if len(self._scopes) > MAX_LINGERING:
            # Its task ends later; until then others may be added.
            self._scopes.pop(0).cancel()
        try:
            with scope:
                await _wait_for_client(stream, discard)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # The client has reset the connection.
        finally:
            if scope in self._scopes:
                self._scopes.remove(scope)
            if discard:
                stream.discard_received(FINAL_READ_BYTES)
            self._log_unreceived(stream)
            stream.close()

    def _log_unreceived(self, stream):
        # The end of the sending side counts as a byte.
        unreceived = stream.unreceived_bytes
        if unreceived > 1:
            reason = f"the client did not receive {unreceived} bytes before the close"
            self._log("response_not_read", reason=reason)


async def _wait_for_client(stream, discard):
    """End the sending side, and wait for the client's close while it receives."""
    stream.end_sending()
    begun_at = progress_at = trio.current_time()
    unreceived = stream.unreceived_bytes
    while trio.current_time() < min(progress_at + LINGER_S, begun_at + MAX_LINGER_S):
        with trio.move_on_after(LINGER_POLL_S):
            if discard:
                if not await stream.receive_some(READ_BYTES):
                    return
            else:
                await stream.wait_readable()
                if stream.ended:
                    return
                await trio.sleep(LINGER_POLL_S)
        if stream.unreceived_bytes != unreceived:
            unreceived = stream.unreceived_bytes
            progress_at = trio.current_time()
