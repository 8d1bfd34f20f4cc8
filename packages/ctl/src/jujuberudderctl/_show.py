"""``jujuberudderctl show``: prints the sections in force or their history."""

from jujuberudder_core import UserError

from ._exits import EXIT_MISTAKE, run
from ._output import print_json, print_table
from ._source import configuration, find_access, read_sections


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

    The output for one section can be edited and given to publish: its first line names
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
        Print this version in place of the one in force, if the log still holds it.
    history : bool
        List the versions that the log still holds, with what became of them.
    json : bool
        Print JSON.
    """
    where = (node, log_address, deployment)
    if history:
        return run(_history, name, where, json)
    if version is not None:
        if name is None:
            raise UserError("give the name of the section too", EXIT_MISTAKE)
        return run(_version, name, version, where, json)
    return run(_in_force, name, where, json)


async def _in_force(name, where, json):
    sections = await read_sections(await find_access(*where))
    if name is not None:
        if name not in sections:
            raise UserError(f"no section {name!r} is in force", EXIT_MISTAKE)
        sections = {name: sections[name]}
    if json:
        print_json(sections)
        return
    for found, section in sections.items():
        _print_section(found, section["version"], section["text"])


def _print_section(name, version, text):
    print(f"# {name} version {version}")
    print(text, end="" if text.endswith("\n") else "\n")


async def _version(name, version, where, json):
    async with configuration(await find_access(*where)) as stream:
        change = find_change(stream, name, version)
    if json:
        print_json(_change(change, stream.sections))
    else:
        _print_section(name, version, change.record.text)


def find_change(stream, name, version):
    """Return the Change with a version of a section.

    Raises
    ------
    UserError
        If the log does not hold it.
    """
    for change in stream.history:
        if (change.record.name, change.version) == (name, version):
            return change
    message = f"the log holds no version {version} of {name}"
    raise UserError(message, EXIT_MISTAKE)


async def _history(name, where, json):
    async with configuration(await find_access(*where)) as stream:
        changes = [
            _change(change, stream.sections)
            for change in stream.history
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


def _change(change, sections):
    record = change.record
    return {
        "section": record.name,
        "version": change.version,
        "base": record.base,
        "author": record.author,
        "outcome": _outcome(change, sections.version(record.name)),
        "text": record.text,
    }


def _outcome(change, version):
    if change.outcome.is_err():
        return f"refused: {change.outcome.err_value.reason}"
    if not change.outcome.ok_value:
        return "conflict"
    return "in force" if change.version == version else "superseded"
