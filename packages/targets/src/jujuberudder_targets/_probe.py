"""Probes of the local target."""

import httpcore
import trio

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
FAILURES_TO_DOWN = 3


class TargetHealth:
    """Result of the last probes and of the last connection attempts."""

    def __init__(self):
        self._failures = FAILURES_TO_DOWN
        self._up_since = 0.0
        self._changed = trio.Event()

    @property
    def up(self):
        """Whether the target takes requests."""
        return self._failures < FAILURES_TO_DOWN

    @property
    def up_since(self):
        """Time since which the target takes requests."""
        return self._up_since

    def record_result(self, ok):
        """Note whether the target answered."""
        before = self.up
        self._failures = 0 if ok else self._failures + 1
        if self.up != before:
            if self.up:
                self._up_since = trio.current_time()
            self._changed.set()
            self._changed = trio.Event()

    async def wait_for_change(self):
        """Wait until `up` changes."""
        await self._changed.wait()


async def run_probes(address, health, log):
    """Probe ``GET /health`` of the target for ever."""
    pool = httpcore.AsyncConnectionPool(max_connections=1)
    while True:
        ok = await _probe(pool, address)
        before = health.up
        health.record_result(ok)
        if health.up != before:
            log("target_health", target=address, up=health.up)
        await trio.sleep(PROBE_INTERVAL_S)


async def _probe(pool, address):
    try:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            answer = await pool.request("GET", f"http://{address}/health")
            return answer.status < 500
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return False
    return False
