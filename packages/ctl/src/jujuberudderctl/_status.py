"""``jujuberudderctl status``: prints the state of every live node."""

from ._exits import EXIT_UNREACHABLE, run
from ._output import print_json, print_table
from ._source import query_nodes, read_nodes, resolve_access

HEADINGS = ("NODE", "ZONE", "SERVICE", "LEASE", "TARGET", "LOG", "SLOTS", "QUEUE")


def status(
    *,
    node: str | None = None,
    log_address: str | None = None,
    deployment: str | None = None,
    json: bool = False,
):
    """Print the state of every live node, as the node itself reports it.

    The exit code is 4 if a live node does not respond.

    Parameters
    ----------
    node : str or None
        Operator address of any node, host:port.
    log_address : str or None
        Address of the log service, host:port; with --deployment in place of --node.
    deployment : str or None
        Name of the deployment.
    json : bool
        Print JSON.
    """
    return run(_status, (node, log_address, deployment), json)


async def _status(access_options, json):
    nodes = await read_nodes(await resolve_access(*access_options))
    results = await query_nodes(
        [node["operator_address"] for node in nodes], "/v1/status"
    )
    states = []
    for node in nodes:
        result = results[node["operator_address"]]
        state = {"answers": result.is_ok()}
        state |= result.ok_value if result.is_ok() else node
        if result.is_err():
            state["error"] = result.err_value.reason
        states.append(state)
    if json:
        print_json(states)
    else:
        print_table([(*HEADINGS, "SECTIONS"), *map(_format_row, states)])
    return 0 if all(state["answers"] for state in states) else EXIT_UNREACHABLE


def _format_row(state):
    columns = (state["node"], state["availability_zone"], state["service"])
    if not state["answers"]:
        return (*columns, "-", "-", "-", "-", "-", f"no answer: {state['error']}")
    versions = ",".join(f"{n}:{v}" for n, v in sorted(state["sections"].items()))
    return (
        *columns,
        "held" if state["lease_held"] else "none",
        "up" if state["target_up"] else "down",
        "failing" if state["log_failing"] else "read",
        str(state["slots_used"]),
        str(state["queue_waiting"]),
        versions,
    )
