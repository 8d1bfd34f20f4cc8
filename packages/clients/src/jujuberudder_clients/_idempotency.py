"""Idempotency-Key: a retry gets the first response while this node owns the key."""

import hashlib
from collections import OrderedDict
from traceback import format_exc
from typing import NamedTuple

import trio

from . import _headers as headers
from ._request import Progress, Refusal

MAX_ENTRIES = 2000
MAX_TOTAL_BYTES = 8 * 1024 * 1024
MAX_RESPONSE_BYTES = 1024 * 1024


class CachedResponse(NamedTuple):
    """A response that is cached for retries."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class _Entry:
    """The first request with an Idempotency-Key and its result once it has ended."""

    def __init__(self, fingerprint, serving, epoch):
        self.fingerprint = fingerprint
        self.served_shards = serving
        self.epoch = epoch
        self.ended = trio.Event()
        self.result = None


class IdempotencyCache:
    """Responses to the first requests with an Idempotency-Key, evicted oldest first."""

    def __init__(self):
        self._entries = OrderedDict()
        self._bytes = 0

    @property
    def body_bytes(self):
        """Total size of the cached bodies in bytes."""
        return self._bytes

    def __len__(self):
        return len(self._entries)

    def get(self, cache_key):
        """Return the entry of a cache key, or None."""
        return self._entries.get(cache_key)

    def begin(self, cache_key, entry):
        """Add the entry of a first request."""
        self._entries[cache_key] = entry

    def end(self, cache_key, entry, result):
        """Set the result of a first request and wake the requests that wait for it.

        Parameters
        ----------
        cache_key : tuple
        entry : _Entry
        result : CachedResponse or Refusal
            A Refusal with the outcome not-run is returned to the waiting requests but
            not cached.
        """
        entry.result = result
        entry.ended.set()
        if isinstance(result, CachedResponse):
            self._bytes += len(result.body)
        elif result.outcome == "not-run":
            self.drop(cache_key)
        self._evict_oldest()

    def drop(self, cache_key):
        """Remove the entry of a cache key."""
        entry = self._entries.pop(cache_key, None)
        if entry is not None and isinstance(entry.result, CachedResponse):
            self._bytes -= len(entry.result.body)

    def _evict_oldest(self):
        while len(self._entries) > MAX_ENTRIES or self._bytes > MAX_TOTAL_BYTES:
            ended = (n for n, entry in self._entries.items() if entry.ended.is_set())
            oldest = next(ended, None)
            if oldest is None:
                return
            self.drop(oldest)


class _ResponseRecorder:
    """Records a response in place of the client's connection."""

    def __init__(self):
        self._start = None
        self._body = bytearray()
        self._complete = False

    async def send(self, message):
        """Record an ASGI message, up to the size limit."""
        if message["type"] == "http.response.start":
            self._start = message
        elif len(self._body) <= MAX_RESPONSE_BYTES:
            self._body += message["body"]
            self._complete = not message.get("more_body", False)

    def recorded_response(self):
        """Return the response, or None if it is incomplete or too large."""
        if not self._complete or len(self._body) > MAX_RESPONSE_BYTES:
            return None
        return CachedResponse(
            self._start["status"], self._start["headers"], bytes(self._body)
        )


async def run_idempotent(context, request, hop, run):
    """Run a request with an Idempotency-Key, or replay the response to the first one.

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
        None if a response was sent.
    """
    await request.body.buffer_start()
    if not request.body.complete:
        reason = "body too large for a request with an Idempotency-Key"
        return Refusal("not-run", 413, reason)
    cache_key = (request.section.body["service"], request.key, request.idempotency_key)
    fingerprint = _fingerprint(request)
    entry = _current_entry(context, cache_key, hop)
    if entry is None:
        entry = _Entry(fingerprint, context.served_shards(), hop.epoch)
        context.idempotency_cache.begin(cache_key, entry)
        context.spawn(_run_first, context, request, hop, run, cache_key, entry)
    elif entry.fingerprint != fingerprint:
        reason = "the Idempotency-Key was used for another request"
        return Refusal("not-run", 422, reason)
    # The first request may run from here on.
    request.progress.sent = True
    await entry.ended.wait()
    if isinstance(entry.result, Refusal):
        request.progress.sent = entry.result.outcome != "not-run"
        return entry.result
    await _replay(request, entry.result)
    return None


def _current_entry(context, cache_key, hop):
    """Return the entry of a cache key if its shard has not left this node since."""
    entry = context.idempotency_cache.get(cache_key)
    if entry is None or not entry.ended.is_set():
        return entry
    serving = context.served_shards()
    same_incarnation = serving is entry.served_shards
    if same_incarnation and serving.kept_since(cache_key[0], hop.prefix, entry.epoch):
        return entry
    context.idempotency_cache.drop(cache_key)
    return None


def _fingerprint(request):
    scope = request.scope
    parts = (scope["method"].encode(), scope["raw_path"], scope["query_string"])
    digest = hashlib.sha256(b"\0".join(parts) + b"\0")
    digest.update(request.body.buffered)
    return digest.digest()


async def _run_first(context, request, hop, run, cache_key, entry):
    """Run a first request to completion even if its client disconnects."""
    recorder = _ResponseRecorder()
    progress = Progress()
    detached = request._replace(send=recorder.send, progress=progress)
    result = None
    try:
        with trio.move_on_at(request.deadline):
            result = await run(context, detached, hop)
    except Exception:
        context.log("internal_error", request=request.id, error=format_exc())
    finally:
        if result is None:
            result = recorder.recorded_response() or _lost_response_refusal(progress)
        context.idempotency_cache.end(cache_key, entry, result)


def _lost_response_refusal(progress):
    if progress.sent:
        return Refusal("unknown", 502, "the answer to the first request was lost")
    return Refusal("not-run", 503, "deadline passed before it was sent")


async def _replay(request, recorded_response):
    """Send a cached response under the id of this request."""
    request.progress.response_started = True
    first_id = headers.get(recorded_response.headers, headers.REQUEST_ID) or ""
    response_headers = headers.without(recorded_response.headers, {headers.REQUEST_ID})
    response_headers.append((headers.REQUEST_ID, request.id.encode()))
    if first_id != request.id:
        response_headers.append((headers.FIRST_REQUEST_ID, first_id.encode()))
    start = {
        "type": "http.response.start",
        "status": recorded_response.status,
        "headers": response_headers,
    }
    await request.send(start)
    await request.send({"type": "http.response.body", "body": recorded_response.body})
