"""Helpers for the ASGI applications of the stand-ins."""

import msgspec


async def read_body(receive):
    """Return the request body, or None if the client disconnected."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message["body"]
        if not message.get("more_body", False):
            return bytes(body)


async def send_json(send, status, content, headers=()):
    """Send a complete JSON response."""
    body = msgspec.json.encode(content)
    response_headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        *headers,
    ]
    response_start = {
        "type": "http.response.start",
        "status": status,
        "headers": response_headers,
    }
    await send(response_start)
    await send({"type": "http.response.body", "body": body})


def header(scope, name):
    """Return the value of a request header, or None if it is missing."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode()
    return None
