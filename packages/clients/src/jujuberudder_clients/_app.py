"""ASGI application that handles requests from clients and from other nodes."""

from traceback import format_exc

import trio

from ._attempts import run_attempts
from ._body import BodyTooLarge, ClientDisconnected
from ._request import Refusal, parse, request_id
from ._responses import send_refusal


def make_app(context, trusted):
    """Return the ASGI application.

    Parameters
    ----------
    context : RouteContext
    trusted : bool
        Whether the clients are other nodes, whose internal headers are accepted.

    Returns
    -------
    app : ASGI application
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        parsed = parse(context, trusted, scope, receive, send)
        if parsed.is_err():
            await send_refusal(context, send, request_id(scope), parsed.err_value)
            return
        try:
            await _serve(context, parsed.ok_value)
        except ClientDisconnected:
            context.log("client_gone", request=parsed.ok_value.id)

    return app


async def _serve(context, request):
    """Serve or refuse a request."""
    if not request.hops:
        context.retry_budget.earn(request.section.body["retry_budget_percent"] / 100)
    try:
        refusal = await _buffer_body_start(request)
        if refusal is None:
            refusal = await run_attempts(context, request)
    except ClientDisconnected:
        raise
    except Exception:
        context.log("internal_error", request=request.id, error=format_exc())
        refusal = _internal_error_refusal(request)
    if refusal is not None and not request.progress.response_started:
        await send_refusal(context, request.send, request.id, refusal)


async def _buffer_body_start(request):
    """Buffer the start of the body unless the client waits for ``100 Continue``."""
    body = request.body
    if (
        body.complete
        or body.continue_pending
        or request.deadline <= trio.current_time()
    ):
        return None
    try:
        with trio.move_on_at(request.deadline):
            await request.body.buffer_start()
            return None
    except BodyTooLarge:
        return Refusal("not-run", 413, "body too large")
    return Refusal("not-run", 408, "the body did not arrive before the deadline")


def _internal_error_refusal(request):
    progress = request.progress
    if progress.sent or progress.unknown_refusal:
        return Refusal("unknown", 502, "internal error")
    return Refusal("not-run", 503, "internal error")
