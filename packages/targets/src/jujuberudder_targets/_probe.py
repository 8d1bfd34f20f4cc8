"""Health probes of the local target."""

import httpcore
import trio

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
# Consecutive failures after which a target counts as down.
FAILURES_TO_DOWN = 3


class TargetHealth:
    """Health of the target, from its last probes and connection attempts."""

    def __init__(self):
        self._failures = FAILURES_TO_DOWN
        self._up_since = 0.0
        self._changed = trio.Event()

    @property
    def up(self):
        """Whether the target accepts requests."""
        return self._failures < FAILURES_TO_DOWN

    @property
    def up_since(self):
        """Time at which the target last came up, on trio's clock."""
        return self._up_since

    def record_result(self, ok):
        """Record whether a probe or a connection attempt succeeded."""
        before = self.up
        self._failures = 0 if ok else self._failures + 1
        if self.up != before:
            if self.up:
                self._up_since = trio.current_time()
            self._changed.set()
            self._changed = trio.Event()

    async def wait_for_change(self):
        """Wait until ``up`` changes."""
        await self._changed.wait()


async def run_probes(address, health, log):
    """Probe ``GET /health`` of the target until cancelled.

    Parameters
    ----------
    address : str
        ``host:port`` of the target.
    health : TargetHealth
    log : callable
    """
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
            response = await pool.request("GET", f"http://{address}/health")
            return response.status < 500
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return False
    return False
