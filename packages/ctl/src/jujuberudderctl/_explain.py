"""``jujuberudderctl explain``: explains which node owns a key and why."""

from jujuberudder_core import UserError, decode_record, records

from ._exits import EXIT_INVALID_INPUT, run
from ._output import print_json
from ._source import read_key_explanation, read_owners, read_record, resolve_access


def explain(
    key: str,
    *,
    service: str | None = None,
    node: str | None = None,
    log_address: str | None = None,
    deployment: str | None = None,
    json: bool = False,
):
    """Print the owner of a key and the log record that assigned it.

    Parameters
    ----------
    key : str
        Key as sent in requests.
    service : str or None
        Name of the service; required if several services are keyed.
    node : str or None
        Operator address of any node, host:port.
    log_address : str or None
        Address of the log service, host:port; with --deployment in place of --node.
    deployment : str or None
        Name of the deployment.
    json : bool
        Print JSON.
    """
    return run(_explain, key, service, (node, log_address, deployment), json)


async def _explain(key, service, access_options, json):
    access = await resolve_access(*access_options)
    service = service or await _only_service(access)
    view = await read_key_explanation(access, service, key)
    view["cause"] = await _find_cause(access, view) if view["shard"] is not None else ""
    if json:
        print_json(view)
        return
    for line in _format_lines(view):
        print(line)


async def _only_service(access):
    services = list(await read_owners(access))
    if len(services) != 1:
        names = ", ".join(services) or "none"
        raise UserError(f"give --service; keyed services: {names}", EXIT_INVALID_INPUT)
    return services[0]


async def _find_cause(access, view):
    """Return a description of the record that assigned the shard to its owner."""
    if not view["epoch"]:
        return "it was never assigned"
    # The epoch is the position of the record, which is its offset plus one.
    result = await read_record(access, view["epoch"] - 1)
    if result.is_err():
        return f"unknown: {result.err_value.reason}"
    record = decode_record(result.ok_value)
    if record.is_err():
        return f"unknown: {record.err_value.reason}"
    return _describe_record(record.ok_value)


def _describe_record(record):
    if isinstance(record, records.Assign):
        return f"assigned by planner {record.planner} while it had no owner"
    if isinstance(record, records.Move):
        return f"moved by planner {record.planner} and released by its former owner"
    if isinstance(record, records.Dead):
        failed = ", ".join(base.incarnation for base in record.bases)
        return f"taken over from {failed} by coordinator {record.coordinator}"
    if isinstance(record, records.Leave):
        return f"handed over by {record.incarnation}, which left"
    if isinstance(record, (records.Split, records.Merge)):
        kind = type(record).__name__.lower()
        return f"{kind} of shard {record.service}/{record.prefix}, same owner"
    return f"a record of kind {type(record).__name__.lower()}"


def _format_lines(view):
    service = view["service"]
    yield f"key:         {view['key']} of service {service}"
    yield f"hash:        {view['hash']}"
    yield f"section:     version {view['section_version']}"
    if not view["keyed"]:
        yield "owner:       none; the section has no key, so any target serves requests"
        return
    if view["shard"] is None:
        yield "shard:       none covers the key; requests wait for the planner"
        return
    yield f"shard:       {service}/{view['shard']}, the prefix that covers the hash"
    state = "alive" if view["alive"] else "not alive; requests wait for a takeover"
    zone = f" in {view['availability_zone']}" if view["availability_zone"] else ""
    yield f"owner:       {view['node']}{zone}, incarnation {view['owner']}, {state}"
    yield f"epoch:       {view['epoch']}"
    yield f"because:     {view['cause']}"
    if view["destination"]:
        move = f"{view['destination_node']}, epoch {view['move_epoch']}"
        yield f"moving to:   {move}; requests wait until the owner releases it"
    if view["drained"]:
        yield "drained:     the section drains the owner; the planner moves the shard"
    yield f"planner:     {view['planner_node'] or 'none'} {view['planner']}".rstrip()
