"""Request body whose start is buffered so that it can be sent again."""

REPLAY_BYTES = 64 * 1024


class ClientDisconnected(Exception):
    """The client disconnected before the request was complete."""


class BodyTooLarge(Exception):
    """The body exceeds the limit of the section."""


class RequestBody:
    """Body read from an ASGI ``receive`` callable.

    Parameters
    ----------
    receive : async callable
    limit : int
        Maximum size in bytes.
    send_continue : async callable or None
        Sends ``100 Continue``; given if the request has ``Expect: 100-continue``.
    empty : bool
        Whether the head announces an empty body.
    """

    def __init__(self, receive, limit, send_continue=None, empty=False):
        self._receive = receive
        self._limit = limit
        self._send_continue = send_continue
        self._chunks = []
        self._size = 0
        self._complete = empty
        self._streamed = False

    @property
    def replayable(self):
        """Whether the body can be sent again from its start."""
        return not self._streamed

    @property
    def complete(self):
        """Whether the whole body was received."""
        return self._complete

    @property
    def continue_pending(self):
        """Whether the client waits for ``100 Continue`` before it sends the body."""
        return self._send_continue is not None

    @property
    def buffered(self):
        """The buffered start of the body."""
        return b"".join(self._chunks)

    async def buffer_start(self):
        """Buffer the start of the body: at most ``REPLAY_BYTES`` plus one chunk."""
        while not self._complete and self._size < REPLAY_BYTES:
            self._chunks.append(await self._read())

    async def _read(self):
        if self._send_continue is not None:
            send_continue, self._send_continue = self._send_continue, None
            await send_continue()
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        self._complete = not message.get("more_body", False)
        self._size += len(message["body"])
        if self._size > self._limit:
            raise BodyTooLarge
        return message["body"]

    async def chunks(self):
        """Yield the body.

        Once more than ``REPLAY_BYTES`` have been read, the buffer is dropped and the
        body is no longer replayable.
        """
        for chunk in self._chunks:
            if chunk:
                yield chunk
        while not self._complete:
            chunk = await self._read()
            if self._streamed or self._size > REPLAY_BYTES:
                self._streamed = True
                self._chunks.clear()
            else:
                self._chunks.append(chunk)
            if chunk:
                yield chunk
