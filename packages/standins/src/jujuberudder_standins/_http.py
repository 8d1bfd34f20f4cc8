"""Small helpers for ASGI stand-ins."""

import msgspec


async def read_body(receive):
    """Return the whole body, or None if the caller went away."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message["body"]
        if not message.get("more_body", False):
            return bytes(body)


async def answer(send, status, content, headers=()):
    """Send a whole JSON answer."""
    body = msgspec.json.encode(content)
    sent = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        *headers,
    ]
    start = {"type": "http.response.start", "status": status, "headers": sent}
    await send(start)
    await send({"type": "http.response.body", "body": body})


def header(scope, name):
    """Return a header of a request as str, or None."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode()
    return None
