"""``jujuberudderctl publish``: publishes a new version of a section."""

import getpass
import sys

import trio

from jujuberudder_core import UserError, new_id, records

from ._check import read_section
from ._exits import (
    EXIT_CONFLICT,
    EXIT_INVALID_INPUT,
    EXIT_NOT_IN_FORCE,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    run,
)
from ._output import difference, print_json
from ._source import open_configuration, resolve_access
from ._wait import wait_in_force

RETRY_INTERVAL_S = 0.25


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
    """Publish a new version of a section.

    The version that the edit is based on is taken from --base, or else from the first
    line of the file if it has the form "# jobs version 7", as printed by show. A
    section that was never published needs neither. If another version is in force,
    nothing is changed, and both versions and the difference are printed (exit code 3).

    If the response of the log service is lost, the command determines whether the
    publish took effect before it reports a result.

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
        Author in the history; the name of the current user if not given.
    wait : bool
        Wait until the section is in force on every live node; prints a line per
        availability zone.
    wait_s : float
        Time-out of --wait in seconds (exit code 5 when it expires).
    settle_s : float
        Time-out in seconds for determining whether the publish took effect if the
        response of the log service is lost (exit code 6 when it expires).
    json : bool
        Print the result as JSON; progress goes to standard error.
    """
    name, text, _, header_base = read_section(section)
    base = header_base if base is None else base
    author = _user_name() if author is None else author
    edit = records.Section(new_id(), name, base, text, author)
    access_options = (node, log_address, deployment)
    return run(
        _publish,
        section,
        edit,
        access_options,
        settle_s,
        wait_s if wait else None,
        json,
    )


def _user_name():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


async def _publish(path, edit, access_options, settle_s, wait_s, json):
    access = await resolve_access(*access_options)
    async with open_configuration(access) as configuration:
        version, changed = await _ensure_published(path, configuration, edit, settle_s)
    result = {"section": edit.name, "version": version, "changed": changed}
    outcome = "published" if changed else "is in force already, nothing changed"
    if not json:
        print(f"{edit.name}: version {version} {outcome}", flush=True)
    in_force = True
    if wait_s is not None:
        out = sys.stderr if json else sys.stdout
        zones = await wait_in_force(access, edit.name, version, wait_s, out)
        result["availability_zones"] = zones
        in_force = bool(zones) and all(zone["in_force"] for zone in zones.values())
    if json:
        print_json(result)
    return 0 if in_force else EXIT_NOT_IN_FORCE


async def _ensure_published(path, configuration, edit, settle_s):
    """Publish a changed text; return the version and whether it is new."""
    current = configuration.sections.get(edit.name)
    version = configuration.sections.version(edit.name)
    if current and current.text == edit.text:
        return version, False
    if edit.base is None and version:
        message = (
            f"{path}: version {version} of {edit.name} is in force; give the version "
            f"that the edit is based on: --base N or a first line `# {edit.name} "
            "version N`"
        )
        raise UserError(message, EXIT_INVALID_INPUT)
    edit = edit._replace(base=edit.base or 0)
    if edit.base != version:
        raise _conflict(configuration, edit)
    check_result = configuration.sections.check(edit.name, edit.text)
    if check_result.is_err():
        raise UserError(f"{path}: {check_result.err_value.reason}", EXIT_CONFLICT)
    return await _append_until_known(path, configuration, edit, settle_s), True


async def _append_until_known(path, configuration, edit, settle_s):
    """Append the edit until its outcome is known, and return its version.

    Each attempt appends a copy with an id of its own. All copies have the same base and
    text, so at most one of them takes effect, and it does not matter which.
    """
    sent_ids = []
    reason = f"no answer in {settle_s:g} s"
    with trio.move_on_after(settle_s):
        while True:
            sent_ids.append(edit.id)
            write_result = await configuration.writer.write(edit)
            if write_result.is_err():
                reason = write_result.err_value
                if len(sent_ids) == 1 and not reason.may_have_run:
                    message = f"{edit.name}: not published: {reason}"
                    raise UserError(message, EXIT_UNREACHABLE)
            version = await _find_effective_version(path, configuration, edit, sent_ids)
            if version:
                return version
            edit = edit._replace(id=new_id())
            await trio.sleep(RETRY_INTERVAL_S)
    message = (
        f"{edit.name}: the log service did not confirm whether the publish based on "
        f"version {edit.base} took effect ({reason}); run `jujuberudderctl show "
        f"{edit.name} --history` once it answers"
    )
    raise UserError(message, EXIT_UNKNOWN)


async def _find_effective_version(path, configuration, edit, sent_ids):
    """Return the version of the copy that took effect, or None if still unknown."""
    if not await configuration.follower.catch_up():
        return None
    for change in configuration.history:
        if change.record.id not in sent_ids:
            continue
        if change.outcome.is_err():
            reason = change.outcome.err_value.reason
            raise UserError(f"{path}: {reason}", EXIT_CONFLICT)
        if change.outcome.ok_value:
            return change.version
    # Once the base is superseded, no copy that is still in flight can take effect.
    if configuration.sections.version(edit.name) != edit.base:
        raise _conflict(configuration, edit)
    return None


def _conflict(configuration, edit):
    current = configuration.sections.get(edit.name)
    if current is None:
        reason = f"based on version {edit.base}, but no version is in force"
        return UserError(f"{edit.name}: conflict: {reason}", EXIT_CONFLICT)
    labels = (f"{edit.name} version {current.version}, in force", "this edit")
    reason = f"based on version {edit.base}, but version {current.version} is in force"
    changes = difference(current.text, labels[0], edit.text, labels[1])
    return UserError(f"{edit.name}: conflict: {reason}\n{changes}", EXIT_CONFLICT)
