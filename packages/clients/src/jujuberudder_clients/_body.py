"""The body of a request: its start is buffered so that it can be sent again."""

REPLAY_BYTES = 64 * 1024


class ClientGone(Exception):
    """The client closed its connection before the request was complete."""


class BodyTooLarge(Exception):
    """The body is larger than the section allows."""


class RequestBody:
    """Body read from an ASGI ``receive`` callable.

    Parameters
    ----------
    receive : async callable
    limit : int
        Maximum size in bytes.
    invite : async callable or None
        Asks a caller that sent ``Expect: 100-continue`` for the body.
    empty : bool
        Whether the head says that there is no body.
    """

    def __init__(self, receive, limit, invite=None, empty=False):
        self._receive = receive
        self._limit = limit
        self._invite = invite
        self._chunks = []
        self._size = 0
        self._complete = empty
        self._streamed = False

    @property
    def replayable(self):
        """Whether the body can be sent again from the start."""
        return not self._streamed

    @property
    def complete(self):
        """Whether the whole body was received."""
        return self._complete

    @property
    def awaited(self):
        """Whether the caller waits for an invitation to send the body."""
        return self._invite is not None

    @property
    def buffered(self):
        """The buffered start of the body."""
        return b"".join(self._chunks)

    async def fill(self):
        """Buffer the start of the body, at most ``REPLAY_BYTES`` and one chunk."""
        while not self._complete and self._size < REPLAY_BYTES:
            self._chunks.append(await self._read())

    async def _read(self):
        if self._invite is not None:
            invite, self._invite = self._invite, None
            await invite()
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise ClientGone
        self._complete = not message.get("more_body", False)
        self._size += len(message["body"])
        if self._size > self._limit:
            raise BodyTooLarge
        return message["body"]

    async def chunks(self):
        """Yield the body; what follows the buffered start is read only once."""
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
