"""Cold targets: when the target beside this node is cold, and what it may get then.

A target that has just started, or gets requests again after an evacuation, tolerates
only a low rate. All its requests pass through this node, which keeps the rate for any
second, whatever the load is. A window that slides over the send times is used, since a
token bucket allows twice its size in one second.
"""

import math
import time
from collections import deque

import trio

from ._http import ExchangeError, request_head

# Length of the window in which requests are counted, in seconds: the second in which a
# target counts them, and a margin for differences between sending and arrival.
WINDOW_S = 1.0 + 0.05
# Margin in seconds after the stated end of the cold time, which targets round.
ROUNDING_S = 0.05
# Body length in bytes above which a request counts until its response as being sent.
LONG_BODY_BYTES = 65536
# Number by which the sequence of a heartbeat has to exceed that of the last one before
# an event, so that it was certainly sent after the event: one may be on its way.
LATER_HEARTBEATS = 2
# Interval of the health checks until one has a valid answer, and the time-out of one,
# in seconds: targets on the same VM answer within milliseconds.
HEALTH_INTERVAL_S, HEALTH_TIMEOUT_S = 0.5, 0.4
# Bounds of the time between two checks whether a waiting request may be sent, in
# seconds, while the target is cold.
DISPATCH_MIN_S, DISPATCH_MAX_S = 0.01, 0.1


def allowed_requests(requests_per_s, factor, slack):
    """Return how many requests a cold target gets in a window.

    The slack is left for requests that were sent before the node knew that the target
    is cold. Only where less than one request is allowed without it, one is sent.

    Parameters
    ----------
    requests_per_s : float
        Rate that a cold target tolerates.
    factor, slack : float
        In any second it may get ``factor`` times the rate, and ``slack`` requests.
    """
    rate = requests_per_s * factor
    return max(math.floor(rate), min(1, math.floor(rate + slack)))


def start_cold_s(cold_start_s, started_ms, unix_time_s):
    """Return for how many seconds a target is cold because of its start.

    Parameters
    ----------
    cold_start_s : float
        Seconds for which a target is cold after its start.
    started_ms : int
        Unix time of the start in ms. If it is not recent, the time from now on counts,
        since the clocks may differ.
    unix_time_s : float
    """
    age_s = unix_time_s - started_ms / 1000
    return cold_start_s - age_s if 0 <= age_s <= cold_start_s else cold_start_s


def place_delay(sent, unsent, limit, ahead, now):
    """Return the seconds until a request may be sent to a cold target.

    Parameters
    ----------
    sent : sequence of float
        Times of the sends, in their order, of which those in the window count.
    unsent : int
        Number of requests that are about to be sent.
    limit : int
        Number of requests in a window.
    ahead : int
        Number of waiting requests that are sent before.
    now : float
    """
    if limit == 0:
        return math.inf
    times = [at for at in sent if at + WINDOW_S > now] + [now] * unsent
    place = len(times) + ahead - limit
    if place < 0:
        return 0.0
    times += [now] * (limit - len(times))
    # From here on, each request is sent a window after the one ``limit`` places before.
    windows = max(0, math.ceil((place - len(times) + 1) / limit))
    return times[place - windows * limit] + (windows + 1) * WINDOW_S - now


class ColdTarget:
    """Cold state of the target beside this node, and the requests sent to it.

    Parameters
    ----------
    factor, slack : float
        As for ``allowed_requests``.
    log : callable
    metrics : Metrics
    unix_time : callable, default=time.time

    Attributes
    ----------
    active : bool
        Whether the service limits the rate of cold targets; nothing is kept if not.
    unsettled : bool
        Whether the target counts as cold until it has stated, after the start of this
        process or the end of an evacuation, that it is not.
    health_path : str
    changed : trio.Event
        Set, and replaced, when the target may have become cold.
    """

    def __init__(self, factor, slack, log, metrics, unix_time=time.time):
        self._factor, self._slack = factor, slack
        self._log, self._metrics, self._unix_time = log, metrics, unix_time
        self._limit, self._cold_start_s = 0, 0.0
        self._sent, self._unsent = deque(), 0
        # Ends of the cold time that the target stated, and of that after its start.
        self._stated_until = self._start_until = -math.inf
        # Sequence number from which a heartbeat replaces all that was known before.
        self._incarnation, self._min_sequence = None, 0
        self._logged_invalid, self._logged_cold = None, False
        self.active = self.unsettled = False
        self.health_path = ""
        self.changed = trio.Event()

    def configure(self, service, sequence, now):
        """Apply the ``Service`` of a configuration; None if it lists none.

        Parameters
        ----------
        service : Service or None
        sequence : int
            Sequence number of the last heartbeat.
        now : float
        """
        if service is None or not service.cold_requests_per_s:
            self.active = self.unsettled = False
            self._sent.clear()
            self._unsent = 0
            return
        self._limit = allowed_requests(
            service.cold_requests_per_s, self._factor, self._slack
        )
        self._cold_start_s = service.cold_start_s
        self.health_path = service.health_path
        if not self.active:
            self.active = True
            # An earlier process of this node may have sent as many just now.
            self._sent.extend([now] * self._limit)
            self._unsettle(sequence, now)

    def on_evacuation_end(self, sequence, now):
        """Count the target as cold until it states after the end that it is not."""
        if self.active:
            self._unsettle(sequence, now)

    def _unsettle(self, sequence, now):
        self.unsettled = True
        self._min_sequence = sequence + LATER_HEARTBEATS
        self._record_state(now)

    def on_heartbeat(self, heartbeat, now):
        """Apply a ``Heartbeat`` that is not older than the last one."""
        if not self.active:
            return
        incarnation = (heartbeat.target, heartbeat.started_ms)
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._stated_until = -math.inf
            self._start_until = now + start_cold_s(
                self._cold_start_s, heartbeat.started_ms, self._unix_time()
            )
            self._min_sequence = 0
            if self.unsettled:
                self._min_sequence = heartbeat.sequence + LATER_HEARTBEATS
        settles = heartbeat.sequence >= self._min_sequence
        stated_s = heartbeat.warm_up_remaining_s
        if stated_s is None:
            # What is known stays in force; a target that never states a valid time is
            # not cold for ever.
            if self._logged_invalid != incarnation:
                self._logged_invalid = incarnation
                self._log("cold_time_invalid", target=heartbeat.target)
            if self.unsettled and settles:
                self.unsettled = False
                self._start_until = now + self._cold_start_s
        elif settles:
            self._settle(stated_s, now)
        else:
            self._stated_until = max(self._stated_until, _stated_end(stated_s, now))
        self._record_state(now)

    def on_health(self, cold_s, now):
        """Apply the cold time in s that a response to a health check stated."""
        self._settle(cold_s, now)
        self._record_state(now)

    def _settle(self, stated_s, now):
        self.unsettled = False
        self._stated_until = _stated_end(stated_s, now)
        self._start_until = -math.inf

    def _record_state(self, now):
        """Log a change of the cold state."""
        cold = self.is_cold(now)
        if cold:
            self.changed.set()
            self.changed = trio.Event()
        if cold == self._logged_cold:
            return
        self._logged_cold = cold
        if cold:
            self._metrics.count("target_cold")
            left_s = max(0.0, max(self._stated_until, self._start_until) - now)
            self._log(
                "target_cold", left_s=left_s, unsettled=self.unsettled,
                limit=self._limit,
            )  # fmt: skip
        else:
            self._log("target_warm")

    def is_cold(self, now):
        """Whether the target counts as cold."""
        return self.active and (
            self.unsettled or now < max(self._stated_until, self._start_until)
        )

    def rate(self, now):
        """Return the requests per second that the target gets; None if not limited."""
        return self._limit / WINDOW_S if self.is_cold(now) else None

    def permits(self, now):
        """Whether a request may be sent now."""
        if not self.is_cold(now):
            return True
        self._drop_old(now)
        return len(self._sent) + self._unsent < self._limit

    def wait_s(self, ahead, now):
        """Return the seconds until a request behind ``ahead`` others may be sent."""
        if not self.is_cold(now):
            return 0.0
        return place_delay(self._sent, self._unsent, self._limit, ahead, now)

    def reserve(self):
        """Count a request that is about to be sent, when there is a connection."""
        self._unsent += 1

    def cancel(self):
        """Count a request no more that was not sent after all."""
        self._unsent = max(0, self._unsent - 1)

    def count_send(self, now):
        """Count a request that was reserved as sent now."""
        self.cancel()
        self._drop_old(now)
        self._sent.append(now)
        if self.is_cold(now):
            self._metrics.count("sent_to_cold_target")

    def _drop_old(self, now):
        while self._sent and self._sent[0] + WINDOW_S <= now:
            self._sent.popleft()

    def check(self, now):
        """Log that the target is no longer cold when its time has passed."""
        if self._logged_cold:
            self._record_state(now)


def _stated_end(stated_s, now):
    return now + stated_s + ROUNDING_S if stated_s > 0 else now


async def dispatch_while_cold(node):
    """Start waiting requests as soon as a cold target may get them, until cancelled."""
    cold = node.cold_target
    while True:
        if not cold.is_cold(trio.current_time()):
            await cold.changed.wait()
        delay_s = cold.wait_s(0, trio.current_time())
        await trio.sleep(min(DISPATCH_MAX_S, max(DISPATCH_MIN_S, delay_s)))
        cold.check(trio.current_time())
        node.admission.dispatch()


async def check_health_while_unsettled(node):
    """Ask the target for its cold time where no heartbeat has stated it yet."""
    cold, target = node.cold_target, node.target
    while True:
        if not cold.unsettled:
            await cold.changed.wait()
            continue
        serves = target.id and not target.gives_up_keys
        if cold.health_path and serves:
            incarnation = target.incarnation
            cold_s = await _ask_health(node, cold.health_path)
            settled = cold_s is not None and incarnation == target.incarnation
            if settled and cold.unsettled and not target.gives_up_keys:
                cold.on_health(cold_s, trio.current_time())
                node.admission.dispatch()
                continue
        await trio.sleep(HEALTH_INTERVAL_S)


async def _ask_health(node, path):
    """Return the cold time in s that the target states; None without a valid answer."""
    node.metrics.count("health_checks")
    headers = [(b"host", node.target.pool.address.encode())]
    head = request_head(b"GET", path.encode(), headers, 0)
    reason = f"no answer in {HEALTH_TIMEOUT_S} s"
    with trio.move_on_after(HEALTH_TIMEOUT_S):
        try:
            response = await node.target.pool.exchange(head, "health check")
        except ExchangeError as error:
            reason = str(error.failure)
        else:
            cold_s = node.adapter.health_cold_s(response)
            if cold_s is not None:
                return cold_s
            reason = f"status {response.status} without a valid cold time"
    node.log("health_check_failed", target=node.target.incarnation, reason=reason)
    return None
