"""The ASGI application that takes requests from clients and from other nodes."""

from traceback import format_exc

import trio

from ._answers import refuse
from ._attempts import run_attempts
from ._body import BodyTooLarge, ClientGone
from ._request import Refusal, parse, request_id


def make_app(context, trusted):
    """Return the ASGI application.

    Parameters
    ----------
    context : RouteContext
    trusted : bool
        Whether the callers are other nodes, whose internal headers count.
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        parsed = parse(context, trusted, scope, receive, send)
        if parsed.is_err():
            await refuse(context, send, request_id(scope), parsed.err_value)
            return
        try:
            await _serve(context, parsed.ok_value)
        except ClientGone:
            context.log("client_gone", request=parsed.ok_value.id)

    return app


async def _serve(context, request):
    """Serve a request or refuse it."""
    if not request.hops:
        context.retry_budget.earn(request.section.body["retry_budget_percent"] / 100)
    try:
        refusal = await _fill(request)
        if refusal is None:
            refusal = await run_attempts(context, request)
    except ClientGone:
        raise
    except Exception:
        context.log("internal_error", request=request.id, error=format_exc())
        refusal = _internal_error(request)
    if refusal is not None and not request.progress.answered:
        await refuse(context, request.send, request.id, refusal)


async def _fill(request):
    """Buffer the start of the body, unless the caller waits to be asked for it."""
    body = request.body
    if body.complete or body.awaited or request.deadline <= trio.current_time():
        return None
    try:
        with trio.move_on_at(request.deadline):
            await request.body.fill()
            return None
    except BodyTooLarge:
        return Refusal("not-run", 413, "body too large")
    return Refusal("not-run", 408, "the body did not arrive before the deadline")


def _internal_error(request):
    progress = request.progress
    if progress.sent or progress.maybe_run:
        return Refusal("unknown", 502, "internal error")
    return Refusal("not-run", 503, "internal error")
