"""``jujuberudderctl inspect``: prints the state of a node on the platform."""

from jujuberudder_core import UserError

from ._exits import EXIT_INVALID_INPUT, run
from ._output import print_json, print_table
from ._source import query_node_or_raise

MAX_KEY = 65535


def inspect(
    address: str,
    *,
    key: int | None = None,
    service: str | None = None,
    json: bool = False,
):
    """Print the state of a node on the platform, or who owns a key according to it.

    For a service whose keys are granted by calls, the calls without a response are
    listed, since when, and until when the target may still apply them.

    Parameters
    ----------
    address : str
        Ready address of the node, host:port.
    key : int or None
        Shard key, 0 to 65535; --service is required with it.
    service : str or None
        Name of the service of the key.
    json : bool
        Print JSON.
    """
    if (key is None) != (service is None):
        raise UserError("give --key and --service together", EXIT_INVALID_INPUT)
    if key is not None and not 0 <= key <= MAX_KEY:
        message = f"--key: expected 0 to {MAX_KEY}, got {key}"
        raise UserError(message, EXIT_INVALID_INPUT)
    return run(_inspect, address, key, service, json)


async def _inspect(address, key, service, json):
    path = "/status" if key is None else f"/keys/{service}/{key}"
    state = await query_node_or_raise(address, path)
    if json:
        print_json(state)
    elif key is None:
        _print_node(state)
    else:
        print_table(
            [(f"{name}:", format_value(value)) for name, value in state.items()]
        )


def _print_node(state):
    keys, rows = state.pop("keys"), []
    for name, value in state.items():
        if isinstance(value, dict):
            rows += [(f"{name}.{part}:", format_value(v)) for part, v in value.items()]
        else:
            rows.append((f"{name}:", format_value(value)))
    if keys:
        rows.append(("keys.granted_by:", keys["granted_by"]))
        rows.append(("keys.lease_left_s:", format_value(keys["lease_left_s"])))
    print_table(rows)
    for name in ("usable", "possible", "open_calls"):
        if keys.get(name):
            print(f"keys.{name}:")
            columns = list(keys[name][0])
            table = [
                [format_value(row[column]) for column in columns] for row in keys[name]
            ]
            print_table([[column.upper() for column in columns], *table])


def format_value(value):
    """Return a value as text, "-" if it is missing."""
    return "-" if value in (None, "") else str(value)
