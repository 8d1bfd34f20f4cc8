"""``jujuberudderctl publish``: publishes one section, based on a version."""

import trio

from jujuberudder_core import UserError, new_id, records

from ._check import read_section
from ._stream import EXIT_UNREACHABLE, configuration

EXIT_CONFLICT = 3


def publish(
    section: str,
    *,
    log_address: str,
    deployment: str,
    base: int | None = None,
):
    """Publish a section.

    Parameters
    ----------
    section : str
        Path of the YAML file.
    log_address : str
        Address of the log service, host:port.
    deployment : str
        Name of the deployment.
    base : int or None
        Version that the edit is based on; the newest one if not given.
    """
    trio.run(_publish, section, log_address, deployment, base)


async def _publish(path, log_address, deployment, base):
    name, text, _ = read_section(path)
    async with configuration(log_address, deployment) as stream:
        current = _version(stream.sections, name)
        if base is not None and base != current:
            raise _conflict(name, base, current)
        record = records.Section(new_id(), name, current, text)
        applied = await stream.writer.write(record)
        if applied.is_err():
            raise UserError(f"{path}: {applied.err_value}", EXIT_UNREACHABLE)
        newest = _version(stream.sections, name)
        if not applied.ok_value.effect:
            raise _conflict(name, current, newest)
        print(f"{name}: version {newest} published")


def _version(sections, name):
    section = sections.get(name)
    return section.version if section else 0


def _conflict(name, base, current):
    message = f"{name}: based on version {base}, but version {current} is in force"
    return UserError(message, EXIT_CONFLICT)
