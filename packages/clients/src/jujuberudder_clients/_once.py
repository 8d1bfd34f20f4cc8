"""Idempotency-Key: a repeat gets the first answer while this node owns the key."""

import hashlib
from collections import OrderedDict
from traceback import format_exc
from typing import NamedTuple

import trio

from . import _headers as headers
from ._request import Progress, Refusal

MAX_ANSWERS = 2000
MAX_BYTES = 8 * 1024 * 1024
MAX_ANSWER_BYTES = 1024 * 1024


class CachedResponse(NamedTuple):
    """An answer that is kept for repeats."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class _Entry:
    """The first request with a key and, once it ended, what became of it."""

    def __init__(self, fingerprint, serving, epoch):
        self.fingerprint = fingerprint
        self.served_shards = serving
        self.epoch = epoch
        self.ended = trio.Event()
        self.result = None


class IdempotencyCache:
    """First answers of this node's keys; the oldest are dropped first."""

    def __init__(self):
        self._entries = OrderedDict()
        self._bytes = 0

    @property
    def held_bytes(self):
        """Bytes held in bodies."""
        return self._bytes

    def __len__(self):
        return len(self._entries)

    def get(self, name):
        """Return the entry of a name, or None."""
        return self._entries.get(name)

    def begin(self, name, entry):
        """Note the first request with a name."""
        self._entries[name] = entry

    def end(self, name, entry, result):
        """Note what became of a first request and wake those that wait for it.

        Parameters
        ----------
        result : CachedResponse or Refusal
            A refusal as not-run is told to those that wait now, but not kept.
        """
        entry.result = result
        entry.ended.set()
        if isinstance(result, CachedResponse):
            self._bytes += len(result.body)
        elif result.outcome == "not-run":
            self.drop(name)
        self._shrink()

    def drop(self, name):
        """Forget a name."""
        entry = self._entries.pop(name, None)
        if entry is not None and isinstance(entry.result, CachedResponse):
            self._bytes -= len(entry.result.body)

    def _shrink(self):
        while len(self._entries) > MAX_ANSWERS or self._bytes > MAX_BYTES:
            ended = (n for n, entry in self._entries.items() if entry.ended.is_set())
            oldest = next(ended, None)
            if oldest is None:
                return
            self.drop(oldest)


class _Capture:
    """Takes an answer in place of the caller's connection."""

    def __init__(self):
        self._start = None
        self._body = bytearray()
        self._whole = False

    async def send(self, message):
        """Take an ASGI message; what exceeds the limit is not kept."""
        if message["type"] == "http.response.start":
            self._start = message
        elif len(self._body) <= MAX_ANSWER_BYTES:
            self._body += message["body"]
            self._whole = not message.get("more_body", False)

    def recorded(self):
        """Return the whole answer, or None."""
        if not self._whole or len(self._body) > MAX_ANSWER_BYTES:
            return None
        return CachedResponse(
            self._start["status"], self._start["headers"], bytes(self._body)
        )


async def run_once(context, request, hop, run):
    """Run a request with an Idempotency-Key, or answer it like its first one.

    Parameters
    ----------
    context : RouteContext
    request : Request
    hop : Hop
        Of kind ``"local"``.
    run : async callable
        Runs the request, called as ``run(context, request, hop)``.

    Returns
    -------
    refusal : Refusal or None
        None once an answer was passed on.
    """
    await request.body.fill()
    if not request.body.complete:
        reason = "body too large for a request with an Idempotency-Key"
        return Refusal("not-run", 413, reason)
    name = (request.section.body["service"], request.key, request.once)
    fingerprint = _fingerprint(request)
    entry = _current(context, name, hop)
    if entry is None:
        entry = _Entry(fingerprint, context.served_shards(), hop.epoch)
        context.idempotency_cache.begin(name, entry)
        context.spawn(_run_first, context, request, hop, run, name, entry)
    elif entry.fingerprint != fingerprint:
        reason = "the Idempotency-Key was used for another request"
        return Refusal("not-run", 422, reason)
    # What this request asks for may run from here on.
    request.progress.sent = True
    await entry.ended.wait()
    if isinstance(entry.result, Refusal):
        request.progress.sent = entry.result.outcome != "not-run"
        return entry.result
    await _answer(request, entry.result)
    return None


def _current(context, name, hop):
    """Return the entry of a name if its shard never left this node meanwhile."""
    entry = context.idempotency_cache.get(name)
    if entry is None or not entry.ended.is_set():
        return entry
    serving = context.served_shards()
    kept = serving is entry.served_shards
    if kept and serving.kept_since(name[0], hop.prefix, entry.epoch):
        return entry
    context.idempotency_cache.drop(name)
    return None


def _fingerprint(request):
    scope = request.scope
    parts = (scope["method"].encode(), scope["raw_path"], scope["query_string"])
    digest = hashlib.sha256(b"\0".join(parts) + b"\0")
    digest.update(request.body.buffered)
    return digest.digest()


async def _run_first(context, request, hop, run, name, entry):
    """Run a first request to its end even if its client goes away."""
    capture = _Capture()
    progress = Progress()
    own = request._replace(send=capture.send, progress=progress)
    result = None
    try:
        with trio.move_on_at(request.deadline):
            result = await run(context, own, hop)
    except Exception:
        context.log("internal_error", request=request.id, error=format_exc())
    finally:
        if result is None:
            result = capture.recorded() or _lost(progress)
        context.idempotency_cache.end(name, entry, result)


def _lost(progress):
    if progress.sent:
        return Refusal("unknown", 502, "the answer to the first request was lost")
    return Refusal("not-run", 503, "deadline passed before it was sent")


async def _answer(request, recorded):
    """Answer with what was recorded, under the id of this request."""
    request.progress.answered = True
    first = headers.get(recorded.headers, headers.REQUEST_ID) or ""
    sent = headers.without(recorded.headers, {headers.REQUEST_ID})
    sent.append((headers.REQUEST_ID, request.id.encode()))
    if first != request.id:
        sent.append((headers.FIRST_REQUEST_ID, first.encode()))
    start = {"type": "http.response.start", "status": recorded.status, "headers": sent}
    await request.send(start)
    await request.send({"type": "http.response.body", "body": recorded.body})
