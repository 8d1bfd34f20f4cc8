"""The ASGI application for operators: reads only."""

from typing import NamedTuple
from urllib.parse import parse_qsl

import msgspec


class TextResponse(NamedTuple):
    """A view's answer that is not JSON."""

    content_type: str
    body: bytes


def make_operator_app(views):
    """Return an ASGI application.

    Parameters
    ----------
    views : dict of str to callable
        By path; each is called with the query as a dict of str to str and returns a
        `TextResponse` or what is answered as JSON. A KeyError names a missing
        parameter.
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        status, text = _answer(views, scope)
        headers = [
            (b"content-type", text.content_type.encode()),
            (b"content-length", b"%d" % len(text.body)),
        ]
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": text.body})

    return app


def _answer(views, scope):
    if scope["method"] not in ("GET", "HEAD"):
        return 405, _json({"error": "only reads are served"})
    view = views.get(scope["path"])
    if view is None:
        return 404, _json({"error": "no such path", "paths": sorted(views)})
    query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
    try:
        content = view(query)
    except KeyError as error:
        return 400, _json({"error": f"missing parameter {error}"})
    return 200, content if isinstance(content, TextResponse) else _json(content)


def _json(content):
    return TextResponse("application/json", msgspec.json.encode(content))
