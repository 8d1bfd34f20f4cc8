"""``jujuberudderctl diff``: compares a section file with a published version."""

from ._check import read_section
from ._exits import EXIT_DIFFERENT, run
from ._output import difference, print_json
from ._show import find_change
from ._source import configuration, find_access, read_sections


def diff(
    section: str,
    *,
    node: str | None = None,
    log_address: str | None = None,
    deployment: str | None = None,
    version: int | None = None,
    json: bool = False,
):
    """Print the difference between a published section and a file.

    The exit code is 0 if there is none and 1 if there is one.

    Parameters
    ----------
    section : str
        Path of the YAML file.
    node : str or None
        Operator address of any node, host:port.
    log_address : str or None
        Address of the log service, host:port; with --deployment in place of --node.
    deployment : str or None
        Name of the deployment.
    version : int or None
        Version to compare with, if the log still holds it; the one in force if not
        given.
    json : bool
        Print JSON.
    """
    name, text, _, _ = read_section(section)
    where = (node, log_address, deployment)
    return run(_diff, section, name, text, version, where, json)


async def _diff(path, name, text, version, where, json):
    access = await find_access(*where)
    if version is None:
        found = (await read_sections(access)).get(name, {"version": 0, "text": ""})
    else:
        async with configuration(access) as stream:
            old = find_change(stream, name, version)
            found = {"version": version, "text": old.record.text}
    label = f"{name} version {found['version']}"
    changes = difference(found["text"], label, text, path)
    if json:
        print_json({"section": name, "version": found["version"], "diff": changes})
    elif changes:
        print(changes)
    return EXIT_DIFFERENT if changes else 0
