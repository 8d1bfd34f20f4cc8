"""Explanation of where a request would be sent now, without sending it.

``take_view`` copies what a node knows, ``explain`` derives the answer from the copy.
Neither counts the request, opens a link or advances the split between services.
"""

from typing import NamedTuple
from urllib.parse import parse_qs

from ._admission import OUTLASTS_NODE, refusal
from ._choice import (
    OTHER_ZONE_SAMPLE_SIZE,
    SAME_ZONE_SAMPLE_SIZE,
    cost,
    with_assumed_times,
)
from ._client_requests import NOT_SERVED, RETRY_AFTER_S
from ._routes import match_route
from ._status import key_status
from ._types import KEY_COUNT

# Decimal places of times in seconds.
TIME_DIGITS = 4
SAMPLE_SIZE = SAME_ZONE_SAMPLE_SIZE + OTHER_ZONE_SAMPLE_SIZE
NO_CONFIGURATION, NO_ROUTE = "no configuration is known yet", "no route"
NO_TARGET, NO_CAPACITY = "no target is known", "no VM has capacity"


class VMView(NamedTuple):
    """What a node knows of a VM of the service.

    ``refusing`` is why it accepts no requests, empty if it does. ``wait_s`` is the
    expected wait for a slot of its last report, ``candidate`` its ``Candidate``; None
    without a report. ``chosen_from`` is whether this node chooses from it and others;
    VMs without it are drawn if those refuse and they are ``reachable`` as far as known.
    """

    vm: str
    zone: str
    evacuated: bool = False
    leaving: bool = False
    has_target: bool = True
    chosen_from: bool = True
    link_up: bool = True
    reachable: bool = True
    refusing: str = ""
    cold: bool = False
    wait_s: float = 0.0
    candidate: object = None


class View(NamedTuple):
    """What a node knows that determines where a request goes.

    ``keyed`` maps the services of the route to whether they are divided by key.
    ``owner`` is the state of the key as ``key_status`` returns it, or None.
    ``owner_problem`` is why the owner of the key gets no request, empty if it does, and
    ``owner_view`` its ``VMView``. ``node_left_s`` is the time until this node ends, in
    seconds, None if it does not stop.
    """

    known_to: str
    version: int
    host: str
    path: str
    key: int | None = None
    route: object = None
    service: str = ""
    keyed: dict = {}
    owner: dict | None = None
    owner_problem: str = ""
    owner_view: VMView | None = None
    vms: tuple = ()
    node_left_s: float | None = None


def exclusion(vm, route):
    """Return why a VM would not be sent a request of a route now, or an empty string.

    Parameters
    ----------
    vm : VMView
    route : Route
    """
    candidate = vm.candidate
    for reason, holds in (
        ("evacuated", vm.evacuated),
        ("leaving", vm.leaving),
        ("no target has announced itself", not vm.has_target),
        ("this node sends to other VMs of the service first", not vm.chosen_from),
        ("link down", not vm.link_up),
        (f"refusing: {vm.refusing}", vm.refusing),
        ("no report of its load", candidate is None),
        ("cold", vm.cold),
    ):
        if holds:
            return reason
    retry_after_s = expected_retry_after_s(vm, route)
    if retry_after_s is None:
        return ""
    return f"no capacity: it would refuse with Retry-After {retry_after_s:.1f} s"


def expected_retry_after_s(vm, route):
    """Return the Retry-After with which a VM would refuse, or None if it would not.

    It is an estimate from the last report, for a client that waits for the time-out of
    the route.
    """
    if vm.candidate is None or not vm.wait_s:
        return None
    return refusal(
        vm.wait_s, vm.wait_s, vm.candidate.service_s, route.latency_goal_s,
        route.timeout_s,
    )  # fmt: skip


def explain(view):
    """Return where a request would be sent, and why, as JSON values.

    Parameters
    ----------
    view : View
    """
    route = view.route
    result = {
        "known_to": view.known_to,
        "configuration": view.version,
        "host": view.host,
        "path": view.path,
        "key": view.key,
        "route": None,
        "weights": [],
        "service": None,
        "owner": None,
        "send_to": None,
        "sampled": False,
        "drawn_next": [],
        "candidates": [],
        "excluded": [],
        "refusal": None,
    }
    if route is None:
        result["refusal"] = (
            _refusal(404, NO_ROUTE)
            if view.version
            else _refusal(NOT_SERVED, NO_CONFIGURATION, RETRY_AFTER_S)
        )
        return result
    result["route"] = {
        name: getattr(route, name)
        for name in (
            "name", "host", "prefix", "retryable", "attempts", "priority", "timeout_s",
            "latency_goal_s",
        )
    }  # fmt: skip
    result["weights"] = [
        {"service": s.service, "weight": s.weight, "keyed": view.keyed[s.service]}
        for s in route.weighted_services
    ]
    result["service"] = view.service
    keyed = view.keyed[view.service]
    result |= _explain_owner(view) if keyed else _explain_choice(view)
    if view.node_left_s is not None and route.timeout_s > view.node_left_s:
        result["send_to"] = None
        result["refusal"] = _refusal(NOT_SERVED, OUTLASTS_NODE, RETRY_AFTER_S)
    return result


def _explain_owner(view):
    problem = view.owner_problem
    if view.key is None:
        problem = NO_TARGET
    result = {"owner": view.owner}
    if problem:
        return result | {"refusal": _refusal(NOT_SERVED, problem, RETRY_AFTER_S)}
    retry_after_s = expected_retry_after_s(view.owner_view, view.route)
    if retry_after_s is not None:
        result["refusal"] = _refusal(
            NOT_SERVED, f"queue of {view.owner_view.wait_s:.2f} s", retry_after_s
        )
    return result | {"send_to": view.owner["owner"]}


def _explain_choice(view):
    vms = {vm.vm: vm for vm in view.vms}
    excluded = {name: exclusion(vm, view.route) for name, vm in vms.items()}
    usable = with_assumed_times(
        [vm.candidate for name, vm in vms.items() if not excluded[name]]
    )
    ranked = sorted(usable, key=lambda c: cost(c, 0))
    result = {
        "send_to": ranked[0].vm if ranked else None,
        # Then each request compares a random sample, and the best one of all may not be
        # in it.
        "sampled": len([c for c in ranked if c.vm != view.known_to]) > SAMPLE_SIZE,
        "drawn_next": [
            name
            for name, vm in vms.items()
            if not (vm.chosen_from or vm.evacuated or vm.leaving)
            and vm.has_target
            and vm.reachable
        ],
        "candidates": [
            {
                "vm": c.vm, "zone": vms[c.vm].zone, "cost_s": _round(cost(c, 0)),
                "running": c.running, "queued": c.queued, "slots": _round(c.slots),
                "service_s": _round(c.service_s), "own_requests": c.own_requests,
                "failing": c.failure_share > 0, "report_age_s": _round(c.report_age_s),
            }
            for c in ranked
        ],
        "excluded": [
            {"vm": name, "zone": vms[name].zone, "reason": reason}
            for name, reason in excluded.items()
            if reason
        ],
    }  # fmt: skip
    if not ranked:
        delays = [expected_retry_after_s(vm, view.route) for vm in vms.values()]
        known = [delay for delay in delays if delay is not None]
        result["refusal"] = _refusal(
            NOT_SERVED,
            NO_CAPACITY if known else NO_TARGET,
            min(known, default=RETRY_AFTER_S),
        )
    return result


def _refusal(status, reason, retry_after_s=None):
    return {
        "status": status,
        "reason": reason,
        "retry_after_s": None if retry_after_s is None else _round(retry_after_s),
    }


def _round(value):
    return round(value, TIME_DIGITS)


def parse_query(query):
    """Return (host, path, key) of the query of an ``/explain`` request.

    Raises
    ------
    ValueError
        A parameter is missing, unknown or invalid.
    """
    parameters = parse_qs(query, keep_blank_values=True, max_num_fields=10)
    unknown = parameters.keys() - {"host", "path", "key"}
    if unknown or any(len(values) > 1 for values in parameters.values()):
        raise ValueError("expected host, path and key once each")
    host, path = (parameters.get(name, [""])[0] for name in ("host", "path"))
    if not host or not path.startswith("/"):
        raise ValueError("expected a host, and a path that starts with /")
    key = parameters.get("key", [None])[0]
    if key is not None and not (
        key.isascii() and key.isdecimal() and int(key) < KEY_COUNT
    ):
        raise ValueError(f"expected a key from 0 to {KEY_COUNT - 1}")
    return (
        host.partition(":")[0].lower(),
        path.partition("?")[0],
        None if key is None else int(key),
    )


def take_view(node, host, path, key, now):
    """Return the ``View`` of a node for a request; nothing of the node changes.

    Parameters
    ----------
    node : Node
    host, path : str
    key : int or None
    now : float
        Time on the node's clock, in seconds.
    """
    view = View(node.settings.vm, node.config_version, host, path, key)
    if node.configuration is None:
        return view
    route = match_route(node.configuration, host, path)
    if route is None:
        return view
    service = node.splitter.peek(route)
    view = view._replace(
        route=route,
        service=service,
        keyed={s.service: node.is_keyed(s.service) for s in route.weighted_services},
        node_left_s=(
            None if node.drain_deadline is None else max(0.0, node.drain_deadline - now)
        ),
    )
    if not node.is_keyed(service):
        vms = node.vms.of_service(service)
        return view._replace(vms=tuple(_vm_view(node, vm, route, now) for vm in vms))
    if key is None:
        return view
    owner = key_status(node, service, key, now)
    entry = owner["owner"] and node.vms.get(owner["owner"])
    if not entry or not node.accepts_requests(entry.name):
        return view._replace(
            owner=owner, owner_problem=node.owner_problem(service, key)
        )
    return view._replace(owner=owner, owner_view=_vm_view(node, entry, route, now))


def _vm_view(node, vm, route, now):
    own = vm.name == node.settings.vm
    link, load = node.links.get(vm.name), None
    if own:
        load, refusing = node.admission.load(), node.admission.closed_reason
    elif link is not None:
        load = link.load
        refusing = "" if load is None or load.accepting else "it accepts no requests"
    else:
        refusing = ""
    return VMView(
        vm.name,
        vm.zone,
        # Only nodes that read evacuations know of some.
        evacuated=vm.zone in getattr(node, "evacuations", ()),
        leaving=vm.leaving,
        has_target=bool(vm.target_incarnation),
        chosen_from=own or vm.name in node.peers.subset(vm.service),
        link_up=own or link is not None and link.up,
        reachable=own or node.peers.may_reach(vm.name),
        refusing=refusing,
        wait_s=0.0 if load is None else load.wait_s,
        candidate=None if load is None else node.candidate_of(vm, route.name, now),
    )
