"""``jujuberudderctl owners``: prints the node that owns each shard."""

from jujuberudder_core import UserError

from ._exits import EXIT_INVALID_INPUT, run
from ._output import print_json, print_table
from ._source import read_owners, resolve_access


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
        Name of the service; all keyed services if not given.
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


async def _owners(service, access_options, json):
    shards_by_service = await read_owners(await resolve_access(*access_options))
    if service is not None:
        if service not in shards_by_service:
            raise UserError(f"service {service!r} has no shards", EXIT_INVALID_INPUT)
        shards_by_service = {service: shards_by_service[service]}
    if json:
        print_json(shards_by_service)
        return
    rows = [("SHARD", "EPOCH", "NODE", "INCARNATION", "STATE")]
    for name, shards in shards_by_service.items():
        for prefix, shard in shards.items():
            columns = (f"{name}/{prefix}", str(shard["epoch"]), shard["node"])
            rows.append((*columns, shard["owner"], _state(shard)))
    print_table(rows)


def _state(shard):
    if not shard["alive"]:
        return "no live owner"
    if shard["destination"]:
        return f"moving to {shard['destination_node']}"
    return "owned"
