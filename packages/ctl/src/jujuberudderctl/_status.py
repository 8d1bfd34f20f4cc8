"""``jujuberudderctl status``: asks every live node how it is."""

from ._exits import EXIT_UNREACHABLE, run
from ._output import print_json, print_table
from ._source import ask_all, find_access, read_nodes

TITLES = ("NODE", "ZONE", "SERVICE", "LEASE", "TARGET", "LOG", "SLOTS", "QUEUE")


def status(
    *,
    node: str | None = None,
    log_address: str | None = None,
    deployment: str | None = None,
    json: bool = False,
):
    """Print the state of every live node, as the node itself tells it.

    The exit code is 4 if a live node does not answer.

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


async def _status(where, json):
    nodes = await read_nodes(await find_access(*where))
    answers = await ask_all([node["operator_address"] for node in nodes], "/v1/status")
    states = []
    for node in nodes:
        answer = answers[node["operator_address"]]
        state = {"answers": answer.is_ok()}
        state |= answer.ok_value if answer.is_ok() else node
        if answer.is_err():
            state["error"] = answer.err_value.reason
        states.append(state)
    if json:
        print_json(states)
    else:
        print_table([(*TITLES, "SECTIONS"), *map(_row, states)])
    return 0 if all(state["answers"] for state in states) else EXIT_UNREACHABLE


def _row(state):
    shown = (state["node"], state["availability_zone"], state["service"])
    if not state["answers"]:
        return (*shown, "-", "-", "-", "-", "-", f"no answer: {state['error']}")
    versions = ",".join(f"{n}:{v}" for n, v in sorted(state["sections"].items()))
    return (
        *shown,
        "held" if state["lease_held"] else "none",
        "up" if state["target_up"] else "down",
        "failing" if state["log_failing"] else "read",
        str(state["slots_used"]),
        str(state["queue_waiting"]),
        versions,
    )
