"""``jujuberudderctl publish``: publishes one section, based on a version."""

import getpass
import sys

import trio

from jujuberudder_core import UserError, new_id, records

from ._check import read_section
from ._exits import (
    EXIT_CONFLICT,
    EXIT_MISTAKE,
    EXIT_NOT_IN_FORCE,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    run,
)
from ._output import difference, print_json
from ._source import configuration, find_access
from ._wait import wait_in_force

RETRY_S = 0.25


def publish(
    section: str,
    *,
    node: str | None = None,
    log_address: str | None = None,
    deployment: str | None = None,
    base: int | None = None,
    author: str | None = None,
    wait: bool = False,
    wait_s: float = 30.0,
    settle_s: float = 30.0,
    json: bool = False,
):
    """Publish a section, based on a version of it.

    The version that the edit is based on is taken from --base, or else from the first
    line of the file if it reads like "# jobs version 7", as printed by show. A section
    that was never published needs neither. If another version is in force, nothing is
    changed, and both versions and the difference are printed (exit code 3).

    If the answer of the log service is lost, the command finds out whether the publish
    took effect before it says anything.

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
    base : int or None
        Version that the edit is based on.
    author : str or None
        Noted in the history; the name of the user if not given.
    wait : bool
        Wait until the section is in force on every live node; prints a line per
        availability zone.
    wait_s : float
        How long to wait at most, in seconds (exit code 5 after that).
    settle_s : float
        How long to find out at most, in seconds, whether the publish took effect if
        the answer of the log service is lost (exit code 6 after that).
    json : bool
        Print the result as JSON; progress goes to standard error.
    """
    name, text, _, header_base = read_section(section)
    base = header_base if base is None else base
    author = _user() if author is None else author
    edit = records.Section(new_id(), name, base, text, author)
    where = (node, log_address, deployment)
    return run(_publish, section, edit, where, settle_s, wait_s if wait else None, json)


def _user():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


async def _publish(path, edit, where, settle_s, wait_s, json):
    access = await find_access(*where)
    async with configuration(access) as stream:
        version, changed = await _bring_into_log(path, stream, edit, settle_s)
    result = {"section": edit.name, "version": version, "changed": changed}
    told = "published" if changed else "is in force already, nothing changed"
    if not json:
        print(f"{edit.name}: version {version} {told}", flush=True)
    done = True
    if wait_s is not None:
        out = sys.stderr if json else sys.stdout
        zones = await wait_in_force(access, edit.name, version, wait_s, out)
        result["availability_zones"] = zones
        done = bool(zones) and all(zone["in_force"] for zone in zones.values())
    if json:
        print_json(result)
    return 0 if done else EXIT_NOT_IN_FORCE


async def _bring_into_log(path, stream, edit, settle_s):
    """Return the version and whether it is new."""
    current = stream.sections.get(edit.name)
    version = stream.sections.version(edit.name)
    if current and current.text == edit.text:
        return version, False
    if edit.base is None and version:
        message = (
            f"{path}: version {version} of {edit.name} is in force; give the version "
            f"that the edit is based on: --base N or a first line `# {edit.name} "
            "version N`"
        )
        raise UserError(message, EXIT_MISTAKE)
    edit = edit._replace(base=edit.base or 0)
    if edit.base != version:
        raise _conflict(stream, edit)
    checked = stream.sections.check(edit.name, edit.text)
    if checked.is_err():
        raise UserError(f"{path}: {checked.err_value.reason}", EXIT_CONFLICT)
    return await _append(path, stream, edit, settle_s), True


async def _append(path, stream, edit, settle_s):
    """Append until the fate of the edit is known; return its version.

    All copies have the same base and text: at most one of them takes effect, and it
    does not matter which.
    """
    sent = []
    reason = f"no answer in {settle_s:g} s"
    with trio.move_on_after(settle_s):
        while True:
            sent.append(edit.id)
            written = await stream.writer.write(edit)
            if written.is_err():
                reason = written.err_value
                if len(sent) == 1 and not reason.may_have_run:
                    message = f"{edit.name}: not published: {reason}"
                    raise UserError(message, EXIT_UNREACHABLE)
            version = await _fate(path, stream, edit, sent)
            if version:
                return version
            edit = edit._replace(id=new_id())
            await trio.sleep(RETRY_S)
    message = (
        f"{edit.name}: the log service does not tell whether the publish based on "
        f"version {edit.base} took effect ({reason}); run `jujuberudderctl show "
        f"{edit.name} --history` once it answers"
    )
    raise UserError(message, EXIT_UNKNOWN)


async def _fate(path, stream, edit, sent):
    """Return the version of the copy that took effect, or None if that is open."""
    if not await stream.follower.catch_up():
        return None
    for change in stream.history:
        if change.record.id not in sent:
            continue
        if change.outcome.is_err():
            reason = change.outcome.err_value.reason
            raise UserError(f"{path}: {reason}", EXIT_CONFLICT)
        if change.outcome.ok_value:
            return change.version
    # With the base superseded, no copy that is still under way can take effect.
    if stream.sections.version(edit.name) != edit.base:
        raise _conflict(stream, edit)
    return None


def _conflict(stream, edit):
    current = stream.sections.get(edit.name)
    if current is None:
        reason = f"based on version {edit.base}, but no version is in force"
        return UserError(f"{edit.name}: conflict: {reason}", EXIT_CONFLICT)
    names = (f"{edit.name} version {current.version}, in force", "this edit")
    reason = f"based on version {edit.base}, but version {current.version} is in force"
    changes = difference(current.text, names[0], edit.text, names[1])
    return UserError(f"{edit.name}: conflict: {reason}\n{changes}", EXIT_CONFLICT)
