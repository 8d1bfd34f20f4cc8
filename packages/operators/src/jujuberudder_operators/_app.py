"""ASGI application with read-only views for operators."""

from typing import NamedTuple
from urllib.parse import parse_qsl

import msgspec


class TextResponse(NamedTuple):
    """Response of a view in a format other than JSON."""

    content_type: str
    body: bytes


def make_operator_app(views):
    """Return an ASGI application.

    Parameters
    ----------
    views : dict of str to callable
        Views by path. Each is called with the query parameters as a dict of str to str
        and returns a `TextResponse` or data that is sent as JSON. It raises KeyError
        with the name of a missing parameter.

    Returns
    -------
    app : callable
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        status, response = _respond(views, scope)
        headers = [
            (b"content-type", response.content_type.encode()),
            (b"content-length", b"%d" % len(response.body)),
        ]
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": response.body})

    return app


def _respond(views, scope):
    if scope["method"] not in ("GET", "HEAD"):
        return 405, _json_response({"error": "only reads are served"})
    view = views.get(scope["path"])
    if view is None:
        return 404, _json_response({"error": "no such path", "paths": sorted(views)})
    query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
    try:
        content = view(query)
    except KeyError as error:
        return 400, _json_response({"error": f"missing parameter {error}"})
    return 200, (
        content if isinstance(content, TextResponse) else _json_response(content)
    )


def _json_response(content):
    return TextResponse("application/json", msgspec.json.encode(content))
