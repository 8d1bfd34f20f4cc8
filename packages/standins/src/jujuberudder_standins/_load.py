"""A client of the deployment that notes what it was told."""

import hashlib
import time

import httpcore
import msgspec

from jujuberudder_core import new_id

from ._audit import ClientRecord

CLIENT_TIMEOUT_S = 15.0


class Client:
    """Sends requests and notes their outcomes.

    Parameters
    ----------
    timeout_s : float
        How long it waits for an answer.
    """

    def __init__(self, timeout_s=CLIENT_TIMEOUT_S):
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self._timeout_s = timeout_s
        self.told = []

    async def send(self, address, method, path, body=b"", idempotent=False):
        """Send one request and return what was told of it.

        Parameters
        ----------
        address : str
            Client address of any node.
        method, path : str
        body : bytes
        idempotent : bool

        Returns
        -------
        told : ClientRecord
        """
        request = new_id()
        sent = hashlib.sha256(body).hexdigest()
        outcome, answered, named = "unknown", "", ""
        try:
            answer = await self._pool.request(
                method,
                f"http://{address}{path}",
                headers={"Jujuberudder-Request-Id": request},
                content=body,
                extensions={
                    "timeout": {"connect": 1.0, "read": self._timeout_s},
                },
            )
            outcome = dict(answer.headers).get(b"jujuberudder-outcome", b"unknown")
            outcome = outcome.decode()
            if outcome == "completed":
                content = msgspec.json.decode(answer.content)
                answered, named = content["sha256"], content["request"]
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            outcome = "not-run"
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            outcome = "unknown"
        told = ClientRecord(request, outcome, idempotent, sent, answered, named)
        self.told.append(told)
        return told


class Availability:
    """How long keys were not served, as probes saw it.

    A probe that waits counts from its start; probes that are refused count from the
    start of the first one to the end of the next that is served.
    """

    def __init__(self):
        self._refused_since = {}
        self._longest = {}

    @property
    def worst_s(self):
        """The longest time of any key in seconds."""
        return max(self._longest.values(), default=0.0)

    @property
    def by_key(self):
        """The longest time in seconds, by key."""
        return self._longest

    def close(self):
        """Count keys that are still refused as not served until now."""
        for key in list(self._refused_since):
            self.record_request(key, time.monotonic(), True)

    def record_request(self, key, started, served):
        """Note a probe that just ended.

        Parameters
        ----------
        key : str
        started : float
            Time of ``time.monotonic`` at its start.
        served : bool
        """
        if not served:
            self._refused_since.setdefault(key, started)
            return
        since = min(started, self._refused_since.pop(key, started))
        lasted = time.monotonic() - since
        self._longest[key] = max(lasted, self._longest.get(key, 0.0))
