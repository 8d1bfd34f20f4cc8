"""``jujuberudderctl diff``: compares a section file with a published version."""

from ._check import read_section
from ._exits import EXIT_DIFFERENT, run
from ._output import difference, print_json
from ._show import find_change
from ._source import open_configuration, read_sections, resolve_access


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

    The exit code is 0 if they are equal and 1 if they differ.

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
        Version to compare with, if the log still contains it; the one in force if not
        given.
    json : bool
        Print JSON.
    """
    name, text, _, _ = read_section(section)
    access_options = (node, log_address, deployment)
    return run(_diff, section, name, text, version, access_options, json)


async def _diff(path, name, text, version, access_options, json):
    access = await resolve_access(*access_options)
    if version is None:
        published = (await read_sections(access)).get(name, {"version": 0, "text": ""})
    else:
        async with open_configuration(access) as configuration:
            change = find_change(configuration, name, version)
            published = {"version": version, "text": change.record.text}
    label = f"{name} version {published['version']}"
    changes = difference(published["text"], label, text, path)
    if json:
        print_json({"section": name, "version": published["version"], "diff": changes})
    elif changes:
        print(changes)
    return EXIT_DIFFERENT if changes else 0
