"""Answers to the caller: those passed on from a peer and the node's own."""

import math

import httpcore
import msgspec

from . import _headers as headers

ELSEWHERE = "elsewhere "
REMOVED = headers.INTERNAL | {
    headers.REQUEST_ID,
    headers.CALL,
    b"transfer-encoding",
    b"date",
    b"server",
}


async def relay(context, request, answer, outcome):
    """Pass on an answer as it arrives; one that breaks off is broken here too.

    Parameters
    ----------
    context : RouteContext
    request : Request
    answer : TargetResponse
    outcome : str

    Returns
    -------
    whole : bool
    """
    request.progress.answered = True
    kept = headers.without(headers.end_to_end(answer.headers), REMOVED)
    kept += [(headers.REQUEST_ID, request.id.encode())]
    kept += [(headers.OUTCOME, outcome.encode())]
    lower = [(name.lower(), value) for name, value in kept]
    start = {"type": "http.response.start", "status": answer.status, "headers": lower}
    await request.send(start)
    try:
        async for chunk in answer.body:
            message = {"type": "http.response.body", "body": chunk, "more_body": True}
            await request.send(message)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        # Without the end of the body the connection is closed, so that the caller sees
        # a broken answer.
        context.log("answer_cut_short", request=request.id, error=repr(error))
        return False
    await request.send({"type": "http.response.body", "body": b""})
    return True


async def refuse(context, send, request_id, refusal):
    """Answer with a refusal."""
    context.log(
        "refused",
        request=request_id,
        outcome=refusal.outcome,
        status=refusal.status,
        reason=refusal.reason,
    )
    body = msgspec.json.encode({"outcome": refusal.outcome, "reason": refusal.reason})
    where = ELSEWHERE if refusal.elsewhere else ""
    sent = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (headers.REQUEST_ID, request_id.encode()),
        (headers.OUTCOME, refusal.outcome.encode()),
        (headers.REASON, _one_line(where + refusal.reason)),
    ]
    if refusal.status == 503:
        sent.append((b"retry-after", b"%d" % math.ceil(refusal.retry_after_s)))
    start = {"type": "http.response.start", "status": refusal.status, "headers": sent}
    await send(start)
    await send({"type": "http.response.body", "body": body})


def _one_line(text):
    return " ".join(text.split()).encode("ascii", "replace")
