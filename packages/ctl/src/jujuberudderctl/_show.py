"""``jujuberudderctl show``: prints the sections in force, or their history."""

from jujuberudder_core import UserError

from ._exits import EXIT_INVALID_INPUT, run
from ._output import print_json, print_table
from ._source import open_configuration, read_sections, resolve_access


def show(
    name: str | None = None,
    *,
    node: str | None = None,
    log_address: str | None = None,
    deployment: str | None = None,
    version: int | None = None,
    history: bool = False,
    json: bool = False,
):
    """Print the sections in force with their versions, or their history.

    The output for one section can be edited and passed to publish: its first line names
    the version that the edit is based on.

    Parameters
    ----------
    name : str or None
        Name of a section; all sections if not given.
    node : str or None
        Operator address of any node, host:port.
    log_address : str or None
        Address of the log service, host:port; with --deployment in place of --node.
    deployment : str or None
        Name of the deployment.
    version : int or None
        Print this version instead of the one in force, if the log still contains it.
    history : bool
        List the versions that the log still contains, with their outcomes.
    json : bool
        Print JSON.
    """
    access_options = (node, log_address, deployment)
    if history:
        return run(_show_history, name, access_options, json)
    if version is not None:
        if name is None:
            raise UserError("give the name of the section too", EXIT_INVALID_INPUT)
        return run(_show_version, name, version, access_options, json)
    return run(_show_in_force, name, access_options, json)


async def _show_in_force(name, access_options, json):
    sections = await read_sections(await resolve_access(*access_options))
    if name is not None:
        if name not in sections:
            raise UserError(f"no section {name!r} is in force", EXIT_INVALID_INPUT)
        sections = {name: sections[name]}
    if json:
        print_json(sections)
        return
    for section_name, section in sections.items():
        _print_section(section_name, section["version"], section["text"])


def _print_section(name, version, text):
    print(f"# {name} version {version}")
    print(text, end="" if text.endswith("\n") else "\n")


async def _show_version(name, version, access_options, json):
    async with open_configuration(
        await resolve_access(*access_options)
    ) as configuration:
        change = find_change(configuration, name, version)
    if json:
        print_json(_change_view(change, configuration.sections))
    else:
        _print_section(name, version, change.record.text)


def find_change(configuration, name, version):
    """Return the SectionChange of a version of a section.

    Raises
    ------
    UserError
        If the log does not contain the version.
    """
    for change in configuration.history:
        if (change.record.name, change.version) == (name, version):
            return change
    message = f"the log contains no version {version} of {name}"
    raise UserError(message, EXIT_INVALID_INPUT)


async def _show_history(name, access_options, json):
    async with open_configuration(
        await resolve_access(*access_options)
    ) as configuration:
        changes = [
            _change_view(change, configuration.sections)
            for change in configuration.history
            if name in (None, change.record.name)
        ]
    if json:
        print_json(changes)
        return
    rows = [("SECTION", "VERSION", "BASED ON", "AUTHOR", "OUTCOME")]
    rows += [
        (c["section"], str(c["version"]), str(c["base"]), c["author"], c["outcome"])
        for c in changes
    ]
    print_table(rows)


def _change_view(change, sections):
    record = change.record
    return {
        "section": record.name,
        "version": change.version,
        "base": record.base,
        "author": record.author,
        "outcome": _describe_outcome(change, sections.version(record.name)),
        "text": record.text,
    }


def _describe_outcome(change, version):
    if change.outcome.is_err():
        return f"refused: {change.outcome.err_value.reason}"
    if not change.outcome.ok_value:
        return "conflict"
    return "in force" if change.version == version else "superseded"
