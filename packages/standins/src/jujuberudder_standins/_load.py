"""A client that records the outcome of each request, and an availability probe."""

import hashlib
import time

import httpcore
import msgspec

from jujuberudder_core import new_id

from ._audit import ClientRecord

CLIENT_TIMEOUT_S = 15.0


class Client:
    """Send requests and record their outcomes.

    Parameters
    ----------
    timeout_s : float
        Time-out of the response in seconds.

    Attributes
    ----------
    records : list of ClientRecord
        Outcomes of all requests so far.
    """

    def __init__(self, timeout_s=CLIENT_TIMEOUT_S):
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self._timeout_s = timeout_s
        self.records = []

    async def send(self, address, method, path, body=b"", idempotent=False):
        """Send one request and return its recorded outcome.

        Parameters
        ----------
        address : str
            Client address of any node, host:port.
        method, path : str
        body : bytes
        idempotent : bool

        Returns
        -------
        record : ClientRecord
        """
        request = new_id()
        request_sha256 = hashlib.sha256(body).hexdigest()
        outcome, response_sha256, response_request = "unknown", "", ""
        try:
            response = await self._pool.request(
                method,
                f"http://{address}{path}",
                headers={"Jujuberudder-Request-Id": request},
                content=body,
                extensions={
                    "timeout": {"connect": 1.0, "read": self._timeout_s},
                },
            )
            outcome = dict(response.headers).get(b"jujuberudder-outcome", b"unknown")
            outcome = outcome.decode()
            if outcome == "completed":
                content = msgspec.json.decode(response.content)
                response_sha256, response_request = (
                    content["sha256"],
                    content["request"],
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            outcome = "not-run"
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            outcome = "unknown"
        record = ClientRecord(
            request,
            outcome,
            idempotent,
            request_sha256,
            response_sha256,
            response_request,
        )
        self.records.append(record)
        return record


class Availability:
    """Longest time for which each key was not served, as measured by probes.

    A probe that is served late counts from its own start. Probes that are refused count
    from the start of the first one to the end of the next one that is served.
    """

    def __init__(self):
        self._unserved_since = {}
        self._longest_s = {}

    @property
    def worst_s(self):
        """Longest unserved time of any key in seconds."""
        return max(self._longest_s.values(), default=0.0)

    @property
    def by_key(self):
        """Longest unserved time in seconds, by key."""
        return self._longest_s

    def close(self):
        """Count keys whose last probe was refused as unserved until now."""
        for key in list(self._unserved_since):
            self.record_request(key, time.monotonic(), True)

    def record_request(self, key, started, served):
        """Record a probe that has just ended.

        Parameters
        ----------
        key : str
        started : float
            ``time.monotonic()`` at the start of the probe.
        served : bool
            Whether the probe was served.
        """
        if not served:
            self._unserved_since.setdefault(key, started)
            return
        since = min(started, self._unserved_since.pop(key, started))
        unserved_s = time.monotonic() - since
        self._longest_s[key] = max(unserved_s, self._longest_s.get(key, 0.0))
