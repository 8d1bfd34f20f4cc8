"""``jujuberudderctl owners``: prints which node owns which shard."""

from jujuberudder_core import UserError

from ._exits import EXIT_MISTAKE, run
from ._output import print_json, print_table
from ._source import find_access, read_owners


def owners(
    service: str | None = None,
    *,
    node: str | None = None,
    log_address: str | None = None,
    deployment: str | None = None,
    json: bool = False,
):
    """Print the owner of each shard.

    Parameters
    ----------
    service : str or None
        All keyed services if not given.
    node : str or None
        Operator address of any node, host:port.
    log_address : str or None
        Address of the log service, host:port; with --deployment in place of --node.
    deployment : str or None
        Name of the deployment.
    json : bool
        Print JSON.
    """
    return run(_owners, service, (node, log_address, deployment), json)


async def _owners(service, where, json):
    found = await read_owners(await find_access(*where))
    if service is not None:
        if service not in found:
            raise UserError(f"service {service!r} has no shards", EXIT_MISTAKE)
        found = {service: found[service]}
    if json:
        print_json(found)
        return
    rows = [("SHARD", "EPOCH", "NODE", "INCARNATION", "STATE")]
    for name, shards in found.items():
        for prefix, shard in shards.items():
            shown = (f"{name}/{prefix}", str(shard["epoch"]), shard["node"])
            rows.append((*shown, shard["owner"], _state(shard)))
    print_table(rows)


def _state(shard):
    if not shard["alive"]:
        return "no live owner"
    if shard["destination"]:
        return f"moving to {shard['destination_node']}"
    return "owned"
