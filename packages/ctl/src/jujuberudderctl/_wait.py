"""Waits until a version of a section is in force, by polling the nodes."""

from contextlib import asynccontextmanager

import trio

from jujuberudder_core import nodes_view

from ._source import open_ownership, query_nodes, read_nodes

POLL_INTERVAL_S = 0.1


async def wait_in_force(access, name, version, wait_s, out):
    """Wait until every live node uses a version of a section for requests.

    Print a line per availability zone as soon as the version is in force there, or when
    the time-out expires.

    Parameters
    ----------
    access : Access
    name : str
        Name of the section.
    version : int
    wait_s : float
        Time-out in seconds.
    out : file object
        Receives the lines printed.

    Returns
    -------
    zones : dict of str to dict
        By availability zone: the number of ``nodes``, whether the version is
        ``in_force`` on all of them, the ``seconds`` until it was (the seconds so far if
        it is not), and the reason for each of the ``missing`` nodes by name.
    """
    started = trio.current_time()
    zones, printed = {}, set()
    with trio.move_on_after(wait_s):
        async with _node_lister(access) as list_nodes:
            while True:
                nodes = await list_nodes()
                missing = await _find_missing(nodes, name, version)
                seconds = round(trio.current_time() - started, 3)
                zones = _group_by_zone(nodes, missing, seconds, zones)
                _print_zones_in_force(zones, printed, version, out)
                if zones and all(zone["in_force"] for zone in zones.values()):
                    return zones
                await trio.sleep(POLL_INTERVAL_S)
    for zone, state in sorted(zones.items()):
        if not state["in_force"]:
            missing = ", ".join(
                f"{n} ({reason})" for n, reason in state["missing"].items()
            )
            print(
                f"{zone}: {_format_count(state, version)}; missing: {missing}", file=out
            )
    if not zones:
        print("no live node is known", file=out)
    return zones


@asynccontextmanager
async def _node_lister(access):
    """Yield an async function that returns the nodes known to be live."""
    if access.node:
        yield lambda: read_nodes(access)
        return
    async with open_ownership(access) as (ownership, refresh):

        async def list_nodes():
            await refresh()
            return nodes_view(ownership)

        yield list_nodes


async def _find_missing(nodes, name, version):
    """Return the reasons why nodes do not use the version yet, by node name."""
    addresses = [node["operator_address"] for node in nodes]
    results = await query_nodes(addresses, "/v1/status")
    missing = {}
    for node in nodes:
        result = results[node["operator_address"]]
        if result.is_err():
            missing[node["node"]] = result.err_value.reason
        elif result.ok_value["sections"].get(name, 0) < version:
            reported = result.ok_value["sections"].get(name, 0)
            missing[node["node"]] = f"version {reported}"
    return missing


def _group_by_zone(nodes, missing, seconds, previous):
    zones = {}
    for node in nodes:
        zone = zones.setdefault(node["availability_zone"], {"nodes": 0, "missing": {}})
        zone["nodes"] += 1
        if node["node"] in missing:
            zone["missing"][node["node"]] = missing[node["node"]]
    for name, zone in zones.items():
        zone["in_force"] = not zone["missing"]
        previous_state = previous.get(name, {})
        in_force_after_s = (
            previous_state["seconds"] if previous_state.get("in_force") else seconds
        )
        zone["seconds"] = in_force_after_s if zone["in_force"] else seconds
    return zones


def _print_zones_in_force(zones, printed, version, out):
    for name, zone in sorted(zones.items()):
        if zone["in_force"] and name not in printed:
            printed.add(name)
            line = (
                f"{name}: {_format_count(zone, version)} after {zone['seconds']:.2f} s"
            )
            print(line, file=out, flush=True)


def _format_count(zone, version):
    in_force_nodes = zone["nodes"] - len(zone["missing"])
    return f"version {version} in force on {in_force_nodes} of {zone['nodes']} nodes"
