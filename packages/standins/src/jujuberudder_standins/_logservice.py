"""Stand-in of the platform's append-only log service."""

from urllib.parse import parse_qs

import trio

from ._http import read_body, send_json

STALE_RECORDS = 5


class LogStandin:
    """In-memory streams with faults that tests can switch on.

    Parameters
    ----------
    retention : int or None
        Number of records kept per stream; all if None.

    Attributes
    ----------
    down : bool
        Whether all requests fail with status 503.
    delay_s : float
        Delay of each request in seconds.
    responses_to_drop : int
        Number of appends that take effect without a response.
    stale_reads : int
        Number of reads that miss the newest ``STALE_RECORDS`` records.
    appends : int
        Number of records appended.
    """

    def __init__(self, retention=None):
        self._retention = retention
        self._streams = {}
        self._first = {}
        self._history = {}
        self._changed = trio.Event()
        self.down = False
        self.delay_s = 0.0
        self.responses_to_drop = 0
        self.stale_reads = 0
        self.appends = 0

    def stream(self, name):
        """Return the records that a stream still contains, as ``(offset, data)``."""
        first = self._first.get(name, 0)
        return list(enumerate(self._streams.get(name, []), first))

    def history(self, name):
        """Return all records of a stream, including those that retention removed.

        Each is ``(offset, data)``.
        """
        return list(enumerate(self._history.get(name, [])))

    def retain(self, records):
        """Limit the number of records per stream, starting with the next append."""
        self._retention = records

    def put(self, name, data):
        """Append a record and return its offset."""
        records = self._streams.setdefault(name, [])
        records.append(data)
        self._history.setdefault(name, []).append(data)
        first = self._first.setdefault(name, 0)
        offset = first + len(records) - 1
        if self._retention is not None and len(records) > self._retention:
            excess = len(records) - self._retention
            del records[:excess]
            self._first[name] = first + excess
        self.appends += 1
        self._changed.set()
        self._changed = trio.Event()
        return offset

    async def app(self, scope, receive, send):
        """ASGI application."""
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        await trio.sleep(self.delay_s)
        if self.down:
            await send_json(send, 503, {"error": "down"})
            return
        name = scope["path"].split("/")[3]
        if scope["method"] == "POST":
            await self._append(name, receive, send)
        else:
            await self._read(name, scope, send)

    async def _append(self, name, receive, send):
        body = await read_body(receive)
        if body is None:
            return
        offset = self.put(name, body.decode())
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            return
        await send_json(send, 200, {"offset": offset})

    async def _read(self, name, scope, send):
        query = parse_qs(scope["query_string"].decode())
        start, limit, wait_ms = (
            int(query[field][0]) for field in ("offset", "limit", "wait_ms")
        )
        if self.stale_reads:
            self.stale_reads -= 1
            await self._read_stale(name, start, limit, send)
            return
        with trio.move_on_after(wait_ms / 1000):
            while self._end(name) <= start and not self.down:
                await self._changed.wait()
        await self._send_records(name, start, limit, self._end(name), send)

    async def _read_stale(self, name, start, limit, send):
        """Respond like a replica that lags behind by ``STALE_RECORDS`` records."""
        end = max(self._first.get(name, 0), self._end(name) - STALE_RECORDS)
        await self._send_records(name, start, limit, end, send)

    async def _send_records(self, name, start, limit, end, send):
        available = [item for item in self.stream(name) if start <= item[0] < end]
        records = available[:limit]
        content = {
            "first": self._first.get(name, 0),
            "next": end,
            "records": [{"offset": offset, "data": data} for offset, data in records],
        }
        await send_json(send, 200, content)

    def _end(self, name):
        return self._first.get(name, 0) + len(self._streams.get(name, []))
