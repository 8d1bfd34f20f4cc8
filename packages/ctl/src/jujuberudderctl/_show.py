"""``jujuberudderctl show``: prints the sections in force."""

import trio

from ._stream import configuration


def show(*, log_address: str, deployment: str):
    """Print the sections in force with their versions.

    Parameters
    ----------
    log_address : str
        Address of the log service, host:port.
    deployment : str
        Name of the deployment.
    """
    trio.run(_show, log_address, deployment)


async def _show(log_address, deployment):
    async with configuration(log_address, deployment) as stream:
        for name, section in sorted(stream.sections.all.items()):
            print(f"# {name} version {section.version}")
            print(section.text)
