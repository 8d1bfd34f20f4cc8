"""Second sends of requests whose response is late."""

import json
from collections import Counter
from types import SimpleNamespace

import pytest
import trio

from jujuberudder_emulator import CONFIGURATION, run_deployment
from jujuberudder_platform import parse_options
from jujuberudder_platform.__main__ import OPTIONS_VARIABLE, SETTINGS_VARIABLE, main
from jujuberudder_router import HedgingLimits, Route, WeightedService, order_routes
from jujuberudder_router._choice import Candidate
from jujuberudder_router._client_requests import make_client_handler
from jujuberudder_router._hedging import Hedging

from .test_client_requests import BUSY, CLOSED, ERROR, IN_DOUBT, MESSAGE, OK, SHED
from .test_client_requests import make_node as make_scripted_node

# Longer than the time-out of the route, in seconds.
NEVER = 9.0


def make_hedging_node(
    script,
    times=(0.1,) * 20,
    share=1.0,
    attempts=2,
    free=None,
    timeout_s=1.0,
    **options,
):
    """Return a node with timed replies of its VMs, and what happened at them.

    ``script`` maps a VM to the time in s and the reply, ``free`` is the load of all VMs
    but the first one.
    """
    node, _ = make_scripted_node(script, **options)
    route = Route(
        "r", "h", "/", (WeightedService("s", 1),), options.get("retryable", True),
        timeout_s, 0.5, attempts, 1,
    )  # fmt: skip
    node.configuration = node.configuration._replace(routes=order_routes([route]))
    node.hedging = Hedging(HedgingLimits(share, 95))
    for took_s in times:
        node.hedging.record("r", took_s)
    seen = SimpleNamespace(sent="", cancelled=set(), counts=Counter(), lines=[])
    node.metrics.count = lambda event: seen.counts.update([event])
    node.log = lambda event, **fields: seen.lines.append((event, fields))

    def candidates(service, refused=(), route=None):
        base = Candidate("", True, 0, 0, 4, 0.1, 0, 0.0)
        later = base._replace(**(free or {}))
        vms = [vm for vm in script if vm not in refused]
        return [(base if vm == "a" else later)._replace(vm=vm) for vm in vms]

    async def forward(vm, request, hold):
        seen.sent += vm
        assert request.request_id == "q"
        after_s, reply = script[vm]
        try:
            await trio.sleep(after_s)
        except trio.Cancelled:
            seen.cancelled.add(vm)
            raise
        return reply

    node.candidates, node.peers.forward = candidates, forward
    return node, seen


@pytest.mark.parametrize(
    "script, attempts, status, sent, cancelled, won",
    [
        ({"a": (0.05, OK), "b": (0.05, OK)}, 2, 200, "a", "", False),
        ({"a": (0.5, OK), "b": (0.05, OK)}, 2, 200, "ab", "a", True),
        ({"a": (0.15, OK), "b": (0.3, OK)}, 2, 200, "ab", "b", False),
        ({"a": (0.3, OK), "b": (0.01, BUSY), "c": (0, OK)}, 3, 200, "ab", "", False),
        ({"a": (0.3, OK), "b": (0.01, SHED), "c": (0, OK)}, 3, 200, "ab", "", False),
        ({"a": (0.15, IN_DOUBT), "b": (0.2, OK)}, 2, 200, "ab", "", True),
        ({"a": (0.15, CLOSED), "b": (0.2, OK)}, 2, 200, "ab", "", True),
        ({"a": (0.15, ERROR), "b": (0.2, OK)}, 2, 200, "ab", "", True),
        ({"a": (0.2, OK), "b": (0.01, ERROR)}, 2, 200, "ab", "", False),
        ({"a": (0.2, IN_DOUBT), "b": (0.1, IN_DOUBT), "c": (0, OK)},
         2, 502, "ab", "", False),
        ({"a": (0.2, IN_DOUBT), "b": (0.1, IN_DOUBT), "c": (0, OK)},
         3, 200, "abc", "", False),
        ({"a": (0.2, IN_DOUBT), "b": (0.01, BUSY)}, 2, 502, "ab", "", False),
        ({"a": (0.15, BUSY), "b": (0.2, IN_DOUBT)}, 2, 502, "ab", "", False),
        ({"a": (0.15, ERROR), "b": (0.2, SHED)}, 2, 500, "ab", "", False),
        ({"a": (0.15, BUSY), "b": (0.2, CLOSED), "c": (0.3, OK), "d": (0, OK)},
         4, 200, "abc", "", False),
        ({"a": (0.15, BUSY), "b": (0.2, CLOSED)}, 2, 503, "ab", "", False),
        ({"a": (0.15, SHED), "b": (0.2, SHED), "c": (0, OK)}, 2, 503, "ab", "", False),
        ({"a": (NEVER, OK), "b": (NEVER, OK)}, 2, 504, "ab", "ab", False),
        ({"a": (0.15, BUSY), "b": (NEVER, OK)}, 2, 504, "ab", "b", False),
        ({"a": (NEVER, OK), "b": (0.01, BUSY)}, 2, 504, "ab", "a", False),
    ],
    ids=[
        "in time", "second wins", "first wins", "second refuses", "second sheds",
        "first in doubt", "first refuses", "first fails", "second fails",
        "both in doubt, no attempts left", "both in doubt, third attempt",
        "in doubt and refused", "refused and in doubt", "failed and shed",
        "both refuse, a slow third VM", "both refuse", "both shed", "deadline",
        "deadline of the second", "deadline of the first",
    ],
)  # fmt: skip
async def test_outcomes_of_two_sends(
    script, attempts, status, sent, cancelled, won, autojump_clock
):
    """Guards against wrong responses, further sends, and sends that go on unused.

    A request that may have run must not be refused as "not run", and must not reach
    more targets than the route permits.
    """
    node, seen = make_hedging_node(script, attempts=attempts)
    # The share permits two second sends.
    node.hedging.count_request("s", trio.current_time())
    response_status, _, _ = await make_client_handler(node)(MESSAGE)
    assert (response_status, seen.sent) == (status, sent)
    assert seen.cancelled == set(cancelled)
    assert seen.counts["hedged"] == (len(sent) > 1)
    assert seen.counts["hedge_won"] == won
    assert sum(event == "hedged" for event, _ in seen.lines) == (len(sent) > 1)


@pytest.mark.parametrize(
    "options, counts",
    [
        ({"keyed": True}, {}),
        ({"retryable": False}, {}),
        ({"attempts": 1}, {}),
        ({"times": (0.1,) * 19}, {}),
        ({"times": (0.2,) * 20, "timeout_s": 0.55}, {}),
        ({"share": 0.9}, {"hedge_budget_spent": 1}),
        ({"slack": 0}, {"hedge_budget_spent": 1, "repeat_budget_spent": 1}),
        ({"free": {"queued": 1}}, {}),
        ({"free": {"running": 4}}, {}),
        ({"free": {"own_requests": 4}}, {}),
        ({"free": {"slots": 0.5}}, {}),
        ({"free": {"failure_share": 0.9}}, {}),
        ({"free": {"cold": True}}, {}),
    ],
    ids=[
        "keyed", "not repeatable", "one attempt", "too few times", "too late",
        "share spent", "retry budget spent", "queue", "no free slot",
        "own requests in all slots", "rate limit", "failing", "cold",
    ],
)  # fmt: skip
async def test_no_second_send(options, counts, autojump_clock):
    """Guards against second sends that are not permitted, or cost others capacity."""
    node, seen = make_hedging_node({"a": (0.45, OK), "b": (0.05, OK)}, **options)
    status, _, _ = await make_client_handler(node)(MESSAGE)
    assert (status, seen.sent) == (200, "a")
    seen.counts.pop("completed")
    assert seen.counts == counts


async def test_client_that_leaves(autojump_clock):
    """Guards against sends that go on for a client that has left."""
    node, seen = make_hedging_node({"a": (NEVER, OK), "b": (NEVER, OK)})
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_client_handler(node), MESSAGE)
        await trio.sleep(0.2)
        nursery.cancel_scope.cancel("the client left")
    assert (seen.sent, seen.cancelled) == ("ab", {"a", "b"})
    (fields,) = (fields for event, fields in seen.lines if event == "unanswered")
    assert fields["in_doubt"] and fields["sends"] == 2


async def test_share_under_load(autojump_clock):
    """Guards against a second send for each request when a whole service is slow."""
    script = {"a": (0.3, OK), "b": (0.3, OK)}
    node, seen = make_hedging_node(script, share=0.1, slack=1e6)
    handle, statuses = make_client_handler(node), []

    async def send():
        statuses.append((await handle(MESSAGE))[0])

    async with trio.open_nursery() as nursery:
        for _ in range(200):
            nursery.start_soon(send)
            await trio.sleep(0.02)
    assert statuses == [200] * 200
    assert 15 <= seen.counts["hedged"] <= 20
    assert len(seen.sent) == 200 + seen.counts["hedged"]


@pytest.mark.parametrize(
    "times, percentile, remaining_s, delay_s",
    [
        ([0.1] * 19, 95, 9, None),
        ([0.1] * 19 + [0.5], 95, 9, 0.1),
        ([0.1] * 18 + [0.5] * 2, 95, 9, 0.5),
        ([n / 100 for n in range(100)], 50, 9, 0.49),
        ([9.0] * 50 + [0.1] * 100, 95, 9, 0.1),
        ([0.001] * 20, 95, 9, 0.01),
        ([0.2] * 20, 95, 0.61, 0.2),
        ([0.2] * 20, 95, 0.59, None),
    ],
    ids=[
        "too few", "beyond the slowest", "many slow", "median", "old times", "short",
        "time left", "no time left",
    ],
)  # fmt: skip
def test_delay(times, percentile, remaining_s, delay_s):
    """Guards against second sends that are too early, or too late to help."""
    hedging = Hedging(HedgingLimits(0.1, percentile))
    for took_s in times:
        hedging.record("r", took_s)
    assert hedging.delay_s("r", remaining_s) == delay_s


@pytest.mark.parametrize(
    "text, message",
    [
        ("hedging: {share: 0, after_percentile: 95}", "hedging.share"),
        ("hedging: {share: '0.1', after_percentile: 95}", "hedging.share"),
        ("hedging: {share: .nan, after_percentile: 95}", "hedging.share"),
        ("hedging: {share: 0.02}", "hedging.after_percentile"),
        ("hedging: {share: 0.02, after_percentile: 100}", "hedging.after_percentile"),
        ("hedging: {share: 0.02, after_percentile: 5}", "hedging.after_percentile"),
        ("hedging: {share: 0.02, percentile: 95}", "hedging.percentile"),
        ("hedging: {share: 1.5, after_percentile: 95}", "hedging.share"),
        ("hedge: {}", "hedge"),
        ("[1]", "options"),
        ("hedging: {", "line 1"),
        (None, "No such file"),
    ],
)
def test_invalid_options_end_the_start(text, message, tmp_path, monkeypatch, capsys):
    """Guards against a node that runs with other limits than the operators wrote."""
    settings, options = tmp_path / "node.toml", tmp_path / "options.yaml"
    settings.write_text(
        'nodeName = "v"\nzone = "z"\nservice = "s"\nappAddr = "127.0.0.1:1"\n'
        '[listenAddrs]\noutbound = "127.0.0.1:1"\ninbound = "127.0.0.1:1"\n'
        'ready = "127.0.0.1:1"\ncontrol = "127.0.0.1:1"\n'
        '[platform]\naddress = "127.0.0.1:1"\n',
        encoding="utf-8",
    )
    if text is not None:
        options.write_text(text, encoding="utf-8")
    monkeypatch.setenv(SETTINGS_VARIABLE, str(settings))
    monkeypatch.setenv(OPTIONS_VARIABLE, str(options))
    assert main() == 2
    error = capsys.readouterr().err
    assert f"{options}: " in error and message in error and error.count("\n") == 1


def test_valid_options():
    """Guards against hedging that is on by default, or off although it is set."""
    limits = {"share": 0.02, "after_percentile": 95}
    assert parse_options({"hedging": limits}) == (0.02, 95.0)
    for document in (None, {}, {"hedging": None}):
        assert parse_options(document) is None


# Requests in the deployment test. One target takes ``SLOW_S`` s for one in
# ``SLOW_ONE_IN`` of its requests, and ``USUAL_S`` for the others. It is still the one
# with the lower mean, so that most requests are sent to it.
REQUESTS, SLOW_ONE_IN = 240, 24
SLOW_S, USUAL_S, OTHER_S = 0.8, 0.02, 0.15


async def run_with_slow_target(limits):
    """Return the sorted times in s of requests, the runs, and the number of hedges.

    One of two targets is slow for some of its requests.
    """
    configuration = json.loads(json.dumps(CONFIGURATION))
    configuration["version"] = "00000002"
    for rule in configuration["listeners"][0]["ruleSet"]:
        rule["routeType"] = "idempotent"
    times = []
    async with run_deployment() as deployment:
        deployment.hedging = limits
        for number in range(2):
            work_s = OTHER_S if number else USUAL_S
            vm = deployment.add(f"vm-{number}", "orders", slots=8, work_s=work_s)
            vm.start_node()
        entry = deployment.add("entry", "jobs")
        entry.start_node()
        deployment.publish(configuration)

        async def serves():
            return (await entry.send_request("/orders/x")).status == 200

        await deployment.wait_until(serves)
        arrived = Counter()

        async def work(message):
            arrived["slow"] += 1
            await trio.sleep(SLOW_S if arrived["slow"] % SLOW_ONE_IN == 0 else USUAL_S)
            return True

        async def send(count):
            for _ in range(count):
                started = trio.current_time()
                response = await entry.send_request("/orders/x")
                assert response.status == 200
                times.append(trio.current_time() - started)

        await send(40)
        deployment.vms["vm-0"].target.work = work
        times.clear()
        deployment.runs.clear()
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(send, REQUESTS // 4)
        # Cancelled sends have ended, and log lines are written, within this time.
        await trio.sleep(0.4)
        hedged = "".join(entry.lines).count("event=hedged ")
        runs = [(run.completed, run.ended - run.started) for run in deployment.runs]
    return sorted(times), runs, hedged


async def test_slow_target_of_two():
    """Guards against hedging that does not help, sends too much, or cancels nothing.

    Without hedging, the slowest responses take as long as the slow requests.
    """
    p99 = REQUESTS * 99 // 100 - 1
    times, runs, hedged = await run_with_slow_target(None)
    assert times[p99] >= SLOW_S and hedged == 0 and len(runs) == REQUESTS
    times, runs, hedged = await run_with_slow_target(HedgingLimits(0.15, 90))
    assert times[p99] < SLOW_S / 2
    assert 0 < hedged <= 0.15 * (REQUESTS + 40)
    assert len(runs) <= REQUESTS + hedged
    cut = [took_s for completed, took_s in runs if not completed]
    assert cut and max(cut) < SLOW_S / 2
