"""``jujuberudderctl explain-request``: prints where a node would send a request."""

from jujuberudder_core import UserError

from ._exits import EXIT_INVALID_INPUT, run
from ._inspect import MAX_KEY, format_value
from ._output import print_json, print_table
from ._source import query_node_or_raise


def explain_request(
    address: str,
    host: str,
    path: str,
    *,
    key: int | None = None,
    json: bool = False,
):
    """Print where a node on the platform would send a request now, without sending it.

    Parameters
    ----------
    address : str
        Ready address of the node, host:port.
    host : str
        Host of the request.
    path : str
        Path of the request, starting with /.
    key : int or None
        Shard key, 0 to 65535.
    json : bool
        Print JSON.
    """
    if not host or not path.startswith("/"):
        message = (
            f"expected a host, and a path that starts with /, got {host!r} {path!r}"
        )
        raise UserError(message, EXIT_INVALID_INPUT)
    if key is not None and not 0 <= key <= MAX_KEY:
        message = f"--key: expected 0 to {MAX_KEY}, got {key}"
        raise UserError(message, EXIT_INVALID_INPUT)
    return run(_explain_request, address, host, path, key, json)


async def _explain_request(address, host, path, key, json):
    query = [("host", host), ("path", path)]
    if key is not None:
        query.append(("key", str(key)))
    answer = await query_node_or_raise(address, "/explain", query)
    if json:
        print_json(answer)
        return
    lists = {name: answer.pop(name) for name in ("weights", "candidates", "excluded")}
    rows = []
    for name, value in answer.items():
        if isinstance(value, dict):
            rows += [(f"{name}.{k}:", format_value(v)) for k, v in value.items()]
        else:
            rows.append((f"{name}:", format_value(value)))
    print_table(rows)
    for name, entries in lists.items():
        if entries:
            print(f"{name}:")
            columns = list(entries[0])
            table = [[format_value(entry[c]) for c in columns] for entry in entries]
            print_table([[column.upper() for column in columns], *table])
