"""Explanation of where a request would be sent."""

import copy
import json
import sys

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router import Route, WeightedService
from jujuberudder_router._choice import Candidate
from jujuberudder_router._explain import View, VMView, exclusion, explain, parse_query
from jujuberudder_router._routes import TrafficSplitter

ROUTE = Route("r", "h", "/", (WeightedService("s", 1.0),), True, 1.0, 0.5, 2, 1)
FREE = Candidate("a", True, 0, 0, 4, 0.1, 0, 0.0)


def make_view(*vms, keyed=False, **fields):
    """Return a view of a request of ``ROUTE``."""
    return View(
        "self", 3, "h", "/x", route=ROUTE, service="s", keyed={"s": keyed}, vms=vms,
        **fields,
    )  # fmt: skip


def vm_view(name, **fields):
    """Return the view of a VM with free slots."""
    load = {f: fields.pop(f) for f in ("service_s", "running") if f in fields}
    return VMView(name, "z", candidate=FREE._replace(vm=name, **load), **fields)


@pytest.mark.parametrize(
    "fields, reason",
    [
        ({}, ""),
        ({"evacuated": True, "leaving": True}, "evacuated"),
        ({"leaving": True}, "leaving"),
        ({"has_target": False}, "no target"),
        ({"chosen_from": False}, "other VMs"),
        ({"link_up": False}, "link down"),
        ({"refusing": "the node is stopping"}, "refusing: the node is stopping"),
        ({"cold": True}, "cold"),
        ({"wait_s": 5.0}, "no capacity: it would refuse with Retry-After 2.0 s"),
        ({"wait_s": 0.1}, ""),
    ],
)
def test_exclusion(fields, reason):
    """Guards against a VM that is excluded, or chosen, for a wrong reason."""
    found = exclusion(vm_view("a", **fields), ROUTE)
    assert reason in found and bool(found) == bool(reason)


OWNER = {"owner": "a", "fence": 7}


@pytest.mark.parametrize(
    "view, send_to, refusal",
    [
        (View("self", 0, "h", "/x"), None, (503, "no configuration is known yet", 0.3)),
        (View("self", 3, "h", "/x"), None, (404, "no route", None)),
        (make_view(), None, (503, "no target is known", 0.3)),
        (make_view(vm_view("a", running=4), vm_view("b")), "b", None),
        (make_view(vm_view("a", wait_s=5.0)), None, (503, "no VM has capacity", 2.0)),
        (make_view(vm_view("a"), node_left_s=0.5), None,
         (503, "the node ends before the request might", 0.3)),
        (make_view(keyed=True), None, (503, "no target is known", 0.3)),
        (make_view(keyed=True, key=5, owner=OWNER, owner_view=vm_view("a")), "a", None),
        (make_view(keyed=True, key=5, owner=OWNER, owner_problem="unreachable"), None,
         (503, "unreachable", 0.3)),
        (make_view(keyed=True, key=5, owner=OWNER,
                   owner_view=vm_view("a", wait_s=1.5)), "a",
         (503, "queue of 1.50 s", 1.5)),
    ],
    ids=[
        "no configuration", "no route", "no VM", "two VMs", "no capacity", "stopping",
        "no key", "owner", "owner without requests", "queue of the owner",
    ],
)  # fmt: skip
def test_answer(view, send_to, refusal):
    """Guards against an answer that differs from what the request would get."""
    before = copy.deepcopy(view)
    answer = explain(view)
    assert view == before
    assert answer["send_to"] == send_to
    found = answer["refusal"]
    assert (found and (found["status"], found["reason"], found["retry_after_s"])) == (
        refusal
    )
    json.dumps(answer)


@pytest.mark.parametrize(
    "query, parsed",
    [
        ("host=App.Example:80&path=%2Fa%3Fq&key=7", ("app.example", "/a", 7)),
        ("host=h&path=/a", ("h", "/a", None)),
        ("host=h", None),
        ("path=/a", None),
        ("host=h&path=a", None),
        ("host=h&path=/a&key=65536", None),
        ("host=h&path=/a&key=-1", None),
        ("host=h&path=/a&keys=1", None),
        ("host=h&host=i&path=/a", None),
    ],
)
def test_query(query, parsed):
    """Guards against a fault, or an answer about another request, for a wrong query."""
    if parsed is None:
        with pytest.raises(ValueError):
            parse_query(query)
    else:
        assert parse_query(query) == parsed


def test_peek_at_the_split():
    """Guards against an explanation that changes the split of a route."""
    splitter = TrafficSplitter()
    services = (WeightedService("a", 3), WeightedService("b", 1))
    route = ROUTE._replace(weighted_services=services)
    for _ in range(8):
        expected = {splitter.peek(route) for _ in range(3)}
        assert expected == {splitter.pick(route)}


async def ask(*arguments):
    """Run the command and return its exit code, output and error output."""
    command = [sys.executable, "-m", "jujuberudderctl", "explain-request", *arguments]
    process = await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )
    return process.returncode, process.stdout.decode(), process.stderr.decode()


async def test_answers_of_a_node():
    """Guards against an answer that names another VM than the request then gets."""
    async with run_deployment("jobs", "orders", "orders") as deployment:
        await deployment.wait_until(deployment.serves_keys)
        entry = deployment.vms["vm-0"]
        # A target that leaves is excluded, so that only one VM is left.
        deployment.vms["vm-1"].target.state = "draining"

        async def explain_json(path, *options):
            code, output, error = await ask(
                entry.ready_address, "app.example", path, *options, "--json"
            )
            assert code == 0, error
            return msgspec.json.decode(output)

        async def excluded():
            answer = await explain_json("/orders/x")
            excluded = [entry["vm"] for entry in answer["excluded"]]
            return (excluded, answer["send_to"]) == (["vm-1"], "vm-2")

        await deployment.wait_until(excluded)
        runs = len(deployment.runs)
        answer = await explain_json("/orders/x")
        assert answer["send_to"] == "vm-2" and answer["service"] == "orders"
        assert [c["vm"] for c in answer["candidates"]] == ["vm-2"]
        assert answer["weights"] == [
            {"service": "orders", "weight": 1.0, "keyed": False}
        ]
        answer = await explain_json("/jobs/x", "--key", "77")
        assert (answer["send_to"], answer["owner"]["fence"]) == ("vm-0", 1)
        assert len(deployment.runs) == runs
        await entry.send_request("/orders/x")
        assert deployment.runs[-1].target == deployment.vms["vm-2"].target.id
        code, output, _ = await ask(entry.ready_address, "app.example", "/orders/x")
        assert code == 0 and "candidates:" in output and "COST_S" in output
        assert "app.example" in output


@pytest.mark.parametrize(
    "arguments, code, message",
    [
        (("127.0.0.1:1", "h", "/x", "--key", "70000"), 2, "0 to 65535"),
        (("127.0.0.1:1", "h", "x"), 2, "starts with /"),
        (("127.0.0.1:1", "h", "/x"), 4, "127.0.0.1:1"),
    ],
)
async def test_errors_of_users(arguments, code, message):
    """Guards against a traceback, or an exit code of success, for a user's error."""
    result = await ask(*arguments)
    assert result[0] == code
    assert result[1] == "" and message in result[2] and result[2].count("\n") == 1
