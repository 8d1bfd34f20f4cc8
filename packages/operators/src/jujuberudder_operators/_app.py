"""The ASGI application for operators: reads only."""

import msgspec


def make_operator_app(views):
    """Return an ASGI application.

    Parameters
    ----------
    views : dict of str to callable
        By path; each returns what is answered as JSON.
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        view = views.get(scope["path"])
        status = 200 if view else 404
        body = msgspec.json.encode(view() if view else {"error": "no such path"})
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": body})

    return app
