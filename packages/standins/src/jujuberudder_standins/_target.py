"""Stand-in of a target that records all requests that it ran."""

import hashlib
from typing import NamedTuple

import trio

from ._http import header, read_body, send_json

WORK_S = 0.005


class Run(NamedTuple):
    """A request that the target ran; times are in seconds of the trio clock.

    Parameters
    ----------
    request : str
        Request id.
    target : str
        Name of the target.
    method, path : str
    fence : int
        Fence of the request; 0 if the service has no keys.
    started, ended : float
    sha256 : str
        Hash of the request body as received.
    """

    request: str
    target: str
    method: str
    path: str
    fence: int
    started: float
    ended: float
    sha256: str


class TargetStandin:
    """A target that responds to each request with the hash of its body.

    Parameters
    ----------
    name : str
        Name of the target in its responses.
    checks_fences : bool
        Whether to refuse requests whose fence is lower than an earlier one of the key.
    work_s : float
        Duration of each request in seconds.

    Attributes
    ----------
    runs : list of Run
        All requests run.
    up : bool
        Whether the health check reports the target as up.
    """

    def __init__(self, name, checks_fences=True, work_s=WORK_S):
        self._name = name
        self._checks_fences = checks_fences
        self._work_s = work_s
        self._fences = {}
        self.runs = []
        self.up = True

    @property
    def name(self):
        """Name of the target."""
        return self._name

    async def app(self, scope, receive, send):
        """ASGI application."""
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        if scope["path"] == "/health":
            await send_json(send, 200 if self.up else 503, {"up": self.up})
            return
        started = trio.current_time()
        fence = int(header(scope, b"jujuberudder-fence") or 0)
        if not self._accepts_fence(scope["path"], fence):
            await send_json(send, 409, {"error": "stale fence"})
            return
        body = await read_body(receive)
        if body is None:
            return
        await trio.sleep(self._work_s)
        await self._record_and_respond(scope, send, started, fence, body)

    def _accepts_fence(self, key, fence):
        if not self._checks_fences:
            return True
        if fence < self._fences.get(key, 0):
            return False
        self._fences[key] = fence
        return True

    async def _record_and_respond(self, scope, send, started, fence, body):
        request = header(scope, b"jujuberudder-request-id") or ""
        run = Run(
            request,
            self._name,
            scope["method"],
            scope["path"],
            fence,
            started,
            trio.current_time(),
            hashlib.sha256(body).hexdigest(),
        )
        self.runs.append(run)
        content = {
            "target": self._name,
            "request": request,
            "path": scope["path"],
            "sha256": run.sha256,
        }
        await send_json(send, 200, content)
