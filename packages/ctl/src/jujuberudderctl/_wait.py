"""Waits until a version of a section is in force, by asking the nodes."""

from contextlib import asynccontextmanager

import trio

from jujuberudder_core import nodes_view

from ._source import ask_all, ownership, read_nodes

POLL_S = 0.1


async def wait_in_force(access, name, version, wait_s, out):
    """Wait until every live node uses a version of a section for requests.

    Prints a line per availability zone: as soon as it is in force there, or when the
    time is over.

    Parameters
    ----------
    access : Access
    name : str
    version : int
    wait_s : float
    out : file object

    Returns
    -------
    zones : dict of str to dict
        ``nodes``, ``in_force``, ``seconds`` and ``missing`` by availability zone.
    """
    started = trio.current_time()
    zones, told = {}, set()
    with trio.move_on_after(wait_s):
        async with _node_list(access) as list_nodes:
            while True:
                nodes = await list_nodes()
                missing = await _missing(nodes, name, version)
                seconds = round(trio.current_time() - started, 3)
                zones = _by_zone(nodes, missing, seconds, zones)
                _tell(zones, told, version, out)
                if zones and all(zone["in_force"] for zone in zones.values()):
                    return zones
                await trio.sleep(POLL_S)
    for zone, state in sorted(zones.items()):
        if not state["in_force"]:
            missing = ", ".join(f"{n} ({why})" for n, why in state["missing"].items())
            print(f"{zone}: {_count(state, version)}; missing: {missing}", file=out)
    if not zones:
        print("no live node is known", file=out)
    return zones


@asynccontextmanager
async def _node_list(access):
    """Yield an async function that returns the live nodes as known now."""
    if access.node:
        yield lambda: read_nodes(access)
        return
    async with ownership(access) as (fold, refresh):

        async def list_nodes():
            await refresh()
            return nodes_view(fold)

        yield list_nodes


async def _missing(nodes, name, version):
    """Return why each node that does not use the version yet does not, by name."""
    addresses = [node["operator_address"] for node in nodes]
    answers = await ask_all(addresses, "/v1/status")
    missing = {}
    for node in nodes:
        answer = answers[node["operator_address"]]
        if answer.is_err():
            missing[node["node"]] = answer.err_value.reason
        elif answer.ok_value["sections"].get(name, 0) < version:
            found = answer.ok_value["sections"].get(name, 0)
            missing[node["node"]] = f"version {found}"
    return missing


def _by_zone(nodes, missing, seconds, before):
    zones = {}
    for node in nodes:
        zone = zones.setdefault(node["availability_zone"], {"nodes": 0, "missing": {}})
        zone["nodes"] += 1
        if node["node"] in missing:
            zone["missing"][node["node"]] = missing[node["node"]]
    for name, zone in zones.items():
        zone["in_force"] = not zone["missing"]
        kept = before.get(name, {})
        first = kept["seconds"] if kept.get("in_force") else seconds
        zone["seconds"] = first if zone["in_force"] else seconds
    return zones


def _tell(zones, told, version, out):
    for name, zone in sorted(zones.items()):
        if zone["in_force"] and name not in told:
            told.add(name)
            line = f"{name}: {_count(zone, version)} after {zone['seconds']:.2f} s"
            print(line, file=out, flush=True)


def _count(zone, version):
    done = zone["nodes"] - len(zone["missing"])
    return f"version {version} in force on {done} of {zone['nodes']} nodes"
