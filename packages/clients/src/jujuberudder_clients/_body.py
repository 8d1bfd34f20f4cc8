"""The body of a request: its start is buffered so that it can be sent again."""

import trio

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
    """

    def __init__(self, receive, limit):
        self._receive = receive
        self._limit = limit
        self._chunks = []
        self._size = 0
        self._complete = False
        self._streamed = False

    @property
    def replayable(self):
        """Whether the body can be sent again from the start."""
        return not self._streamed

    async def fill(self):
        """Buffer the start of the body, at most ``REPLAY_BYTES`` and one chunk."""
        while not self._complete and self._size < REPLAY_BYTES:
            self._chunks.append(await self._read())

    async def _read(self):
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
            self._streamed = True
            yield await self._read()

    async def watch(self, cancel_scope):
        """Cancel a scope when the client goes away after its body was read."""
        while not self._complete:
            await trio.sleep(0.05)
        while (await self._receive())["type"] != "http.disconnect":
            pass
        cancel_scope.cancel()
