"""Requests to cold targets: the bound in each second, and when a target is cold."""

import random

import pytest
import trio
import trio.testing
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from jujuberudder_platform import health_cold_s
from jujuberudder_router import Heartbeat, HttpMessage, Service
from jujuberudder_router._admission import AdmissionQueue, Refused
from jujuberudder_router._cold_rate import (
    WINDOW_S,
    ColdTarget,
    allowed_requests,
    dispatch_while_cold,
    place_delay,
    start_cold_s,
)
from jujuberudder_router._frames import ForwardRequest
from jujuberudder_router._metrics import Metrics

# Rate of the survey registry, and the requests that it allows in a window.
SERVICE = Service("s", False, 50, cold_start_s=6.0, cold_requests_per_s=8.5)
FACTOR, SLACK, LIMIT = 1.5, 8.0, 12
SLOTS, WORK_S = 6, 0.12
HEARTBEAT_S, MAX_LATE_S = 0.87, 1.6


def make_cold_target(log=None):
    """Return a ``ColdTarget`` whose target started long ago."""
    return ColdTarget(
        FACTOR, SLACK, log or (lambda *a, **k: None), Metrics(), lambda: 1e9
    )


def heartbeat(sequence, cold_s, target="t", started_ms=0):
    """Return a heartbeat that states a cold time."""
    return Heartbeat(target, started_ms, sequence, "s", "z", False, SLOTS, cold_s)


class World:
    """A target that counts what reaches it, and the processes of the node beside it.

    ``known`` lists (start, end) of the times in which the target is cold and its node
    has to know it.
    """

    def __init__(self, nursery, seed):
        self.nursery, self.rng = nursery, random.Random(seed)
        self.arrivals, self.known, self.scope = [], [], None
        self.number, self.sequence = 0, 0
        self.cold_until = 0.0

    def start_node(self):
        """Replace the process of the node; what was not sent yet is lost."""
        if self.scope is not None:
            self.scope.cancel()
        self.scope = trio.CancelScope()
        self.admission = AdmissionQueue(lambda key, now: True)
        self.cold_target = self.admission.cold_target = make_cold_target()
        self.cold_target.configure(SERVICE, -1, trio.current_time())
        self.incarnation, self.last_sequence = None, -1
        self.nursery.start_soon(self.run_node, self.scope)

    async def run_node(self, scope):
        """Start waiting requests while the process lives."""
        with scope:
            await dispatch_while_cold(self)

    def start_target(self, cold_s):
        """Start a new incarnation, which is cold."""
        self.number += 1
        now, self.sequence, self.cold_until = trio.current_time(), 0, 0.0
        self.known = [(start, min(end, now)) for start, end in self.known]
        self.cool(cold_s)
        self.known.append((now, self.cold_until))
        self.admission.close("no heartbeat")

    def cool(self, cold_s):
        """Let the target be cold from now on."""
        self.cold_until = max(self.cold_until, trio.current_time() + cold_s)

    async def send_heartbeat(self):
        """Send a heartbeat, which may be late."""
        self.sequence += 1
        cold_until = self.cold_until
        left_s = max(0.0, cold_until - trio.current_time())
        sent = heartbeat(self.sequence, left_s, f"t{self.number}", self.number)
        # A tenth of them is late; the second one after that comes later in any case.
        late = self.rng.random() < 0.1
        await trio.sleep(self.rng.uniform(0, MAX_LATE_S) if late else 0.002)
        now = trio.current_time()
        incarnation = (sent.started_ms, sent.sequence)
        if incarnation < (self.incarnation or 0, self.last_sequence):
            return
        self.incarnation, self.last_sequence = incarnation
        self.cold_target.on_heartbeat(sent, now)
        self.admission.open(SLOTS)
        if left_s and sent.started_ms == self.number:
            self.known.append((now, cold_until))

    async def send_heartbeats(self):
        """Send heartbeats until cancelled."""
        while True:
            self.nursery.start_soon(self.send_heartbeat)
            await trio.sleep(HEARTBEAT_S)

    async def request(self):
        """Send a request of 2 s, whose connection may take a while to open."""
        admission, sent = self.admission, False
        request = ForwardRequest(
            0, "r", b"GET", b"/", [], b"", 2.0, 0.5, 1, None, "s", "s", "r"
        )
        try:
            await admission.acquire(request, trio.current_time())
        except Refused:
            return
        try:
            if self.rng.random() < 0.1:
                await trio.sleep(self.rng.uniform(0, 1.0))
            if admission is not self.admission:
                return  # Its process has ended.
            admission.count_send()
            sent = True
            if self.incarnation != self.number:
                return  # The target responds with status 421.
            self.arrivals.append(trio.current_time() + self.rng.uniform(0, 0.04))
            await trio.sleep(WORK_S)
        finally:
            admission.release(request, WORK_S, sent)

    def most_in_a_second(self):
        """Return the most requests in any second in which the target is known cold."""
        arrivals, most = sorted(self.arrivals), 0
        for start, end in self.known:
            inside = [at for at in arrivals if start <= at < end]
            for first in inside:
                most = max(most, sum(first <= at <= first + 1.0 for at in inside))
        return most


EVENTS = st.lists(
    st.tuples(
        st.floats(0.05, 2.5),
        st.sampled_from(["restart node", "restart target", "cool", "burst"]),
        st.floats(0.3, 5.0),
    ),
    min_size=2, max_size=8,
)  # fmt: skip


@settings(max_examples=40, phases=[Phase.explicit, Phase.generate])
@given(events=EVENTS, per_s=st.sampled_from([5.0, 40.0, 120.0]), seed=st.integers(0))
def test_bound_in_each_second(events, per_s, seed):
    """Guards against a cold target that gets more requests than it tolerates.

    Its node restarts, it restarts, it turns cold at any time, heartbeats are late, and
    connections take up to a second to open.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, seed)
            world.start_node()
            world.start_target(3.0)

            async def load():
                while True:
                    nursery.start_soon(world.request)
                    await trio.sleep(world.rng.expovariate(per_s))

            nursery.start_soon(world.send_heartbeats)
            nursery.start_soon(load)
            for pause_s, event, cold_s in events:
                await trio.sleep(pause_s)
                if event == "restart node":
                    world.start_node()
                elif event == "restart target":
                    world.start_target(cold_s)
                elif event == "cool":
                    world.cool(cold_s)
                else:
                    for _ in range(60):
                        nursery.start_soon(world.request)
            await trio.sleep(3.0)
            nursery.cancel_scope.cancel()
        assert world.most_in_a_second() <= LIMIT

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_cold_target_is_used_and_excess_is_refused_at_once(
    autojump_clock, nursery
):
    """Guards against a rate that is not used, and against requests held in vain.

    At 60 requests per second, the target gets 12 in each window. A request whose place
    comes too late is refused when it arrives, with the time until then.
    """
    world = World(nursery, 1)
    world.start_node()
    world.start_target(30.0)
    await world.send_heartbeat()
    refused = []
    started = trio.current_time()
    for _ in range(600):
        if world.cold_target.wait_s(world.admission.load().queued, started) > 2.0:
            refused.append(trio.current_time())
        nursery.start_soon(world.request)
        await trio.sleep(1 / 60)
    assert len(world.arrivals) >= 0.9 * LIMIT * 10.0 / WINDOW_S - LIMIT
    load = world.admission.load()
    # Other nodes send it nothing a second time.
    assert load.cold
    assert load.slots == pytest.approx(
        LIMIT / WINDOW_S * load.service_s
    ) and load.wait_s >= world.cold_target.wait_s(load.queued, trio.current_time())
    request = ForwardRequest(
        0, "r", b"GET", b"/", [], b"", 0.3, 0.2, 1, None, "s", "s", "r"
    )
    now = trio.current_time()
    with pytest.raises(Refused) as refusal:
        await world.admission.acquire(request, now)
    assert trio.current_time() == now and 0.1 <= refusal.value.retry_after_s <= 2.0


@pytest.mark.parametrize(
    "requests_per_s, factor, slack, expected",
    [(8.5, 1.5, 8.0, 12), (8.5, 1.0, 0.0, 8), (0.4, 1.5, 8.0, 1), (0.4, 1.5, 0.0, 0)],
)
def test_allowed_requests(requests_per_s, factor, slack, expected):
    """Guards against a rounding that allows more, or nothing where one is allowed."""
    assert allowed_requests(requests_per_s, factor, slack) == expected


@pytest.mark.parametrize(
    "started_ms, expected_s",
    [(995_000, 1.0), (999_000, 5.0), (900_000, 6.0), (1_002_000, 6.0)],
    ids=["recent", "just started", "long ago", "clock ahead"],
)
def test_cold_start(started_ms, expected_s):
    """Guards against a target that counts as warm because the clocks differ."""
    assert start_cold_s(6.0, started_ms, 1000.0) == expected_s


@pytest.mark.parametrize(
    "sent, unsent, ahead, expected_s",
    [
        ([], 0, 0, 0.0), ([], 0, 1, 0.0), ([], 0, 2, WINDOW_S),
        ([], 0, 4, 2 * WINDOW_S), ([9.5, 9.8], 0, 0, WINDOW_S - 0.5),
        ([9.5, 9.8], 0, 1, WINDOW_S - 0.2), ([9.5, 9.8], 0, 2, 2 * WINDOW_S - 0.5),
        ([9.5], 1, 1, WINDOW_S), ([8.0, 9.5], 0, 0, 0.0),
        ([9.5, 9.6, 9.8], 0, 0, WINDOW_S - 0.4),
    ],
)  # fmt: skip
def test_place_delay(sent, unsent, ahead, expected_s):
    """Guards against requests that are queued although the window has no place."""
    assert place_delay(sent, unsent, 2, ahead, 10.0) == pytest.approx(expected_s)


SETTLED = [("beat", 7, 0.0), ("beat", 9, 0.0)]


@pytest.mark.parametrize(
    "steps, expected",
    [
        ([("beat", 1, 0.0)], True),
        ([("beat", 1, 0.0), ("beat", 2, 0.0)], True),
        ([("beat", 1, 0.0), ("beat", 3, 0.0)], False),
        ([("beat", 1, 0.0), ("health", 0.0)], False),
        ([("beat", 1, 0.0), ("health", 9.0)], True),
        ([("beat", 1, 0.0), ("health", 9.0), ("beat", 2, 0.0)], True),
        ([*SETTLED, ("beat", 10, 4.0)], True),
        ([*SETTLED, ("beat", 10, 4.0), ("wait", 5.0)], False),
        ([*SETTLED, ("beat", 10, 4.0), ("beat", 11, 0.0)], False),
        ([*SETTLED, ("beat", 10, 4.0), ("beat", 11, None)], True),
        ([*SETTLED, ("beat", 10, None)], False),
        ([*SETTLED, ("end",), ("beat", 10, 0.0)], True),
        ([*SETTLED, ("end",), ("beat", 11, 0.0)], False),
        ([*SETTLED, ("end",), ("beat", 11, 5.0)], True),
        ([*SETTLED, ("end",), ("beat", 11, None)], True),
        ([*SETTLED, ("end",), ("beat", 11, None), ("wait", 7.0)], False),
        ([*SETTLED, ("end",), ("health", 0.0)], False),
        ([*SETTLED, ("life", 1, None)], True),
        ([*SETTLED, ("life", 1, None), ("wait", 7.0)], False),
        ([*SETTLED, ("life", 1, 0.0)], False),
        ([*SETTLED, ("end",), ("life", 1, 0.0)], True),
    ],
    ids=str,
)  # fmt: skip
async def test_cold_state(autojump_clock, steps, expected):
    """Guards against a target taken for warm by what it stated before an event."""
    lines = []
    cold = make_cold_target(lambda event, **fields: lines.append(event))
    cold.configure(SERVICE, -1, trio.current_time())
    for step, *arguments in steps:
        now = trio.current_time()
        if step == "beat":
            cold.on_heartbeat(heartbeat(*arguments), now)
        elif step == "life":
            cold.on_heartbeat(heartbeat(*arguments, started_ms=5), now)
        elif step == "health":
            cold.on_health(*arguments, now)
        elif step == "end":
            cold.on_evacuation_end(9, now)
        else:
            await trio.sleep(*arguments)
    assert cold.is_cold(trio.current_time()) == expected
    assert lines.count("cold_time_invalid") == (None in [s[-1] for s in steps])


@pytest.mark.parametrize(
    "status, value, expected",
    [
        (200, b"2500", 2.5), (200, b"0", 0.0), (503, b"0", None), (200, b"-1", None),
        (200, b"nan", None), (200, b"99999999", None), (200, None, None),
    ],
)  # fmt: skip
def test_health_response(status, value, expected):
    """Guards against a malformed health response that makes a target warm."""
    headers = [] if value is None else [(b"jujuberudder-cold-start-ms", value)]
    response = HttpMessage(b"", b"", status, headers, b"", True)
    assert health_cold_s(response) == expected


def test_services_without_a_cold_rate_keep_nothing():
    """Guards against an effect on deployments that state no cold rate."""
    cold = make_cold_target()
    cold.configure(Service("s", False, 50, cold_start_s=6.0), -1, 0.0)
    cold.on_heartbeat(heartbeat(1, 30.0), 0.0)
    assert not cold.active and cold.permits(0.0) and cold.rate(0.0) is None
