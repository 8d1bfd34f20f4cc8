"""Nodes that run as processes of the ``jujuberudder`` command."""

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import trio
import yaml

from jujuberudder._startup_checks import LISTENERS

LISTENING_EVENT = re.compile(
    r"event=listening .*?client=(\S+) request=(\S+) control=(\S+) operator=(\S+)"
)
# Address of the nodes of this test process. Nodes listen on free ports, and a port that
# is free again after a restart may go to a node of another test run on the machine.
HOST = "127.{}.{}.{}".format(
    1 + os.getpid() // 65536 % 250, *divmod(os.getpid() % 65536, 256)
)


class NodeProcess(NamedTuple):
    """A running node process.

    Parameters
    ----------
    name : str
    process : trio.Process
    client, operator : str
        Addresses that it listens on for clients and for operators.
    log : Path
    """

    name: str
    process: trio.Process
    client: str
    operator: str
    log: Path

    def peak_kib(self):
        """Return the peak of its resident memory, in KiB."""
        return self._status("VmHWM")

    def resident_kib(self):
        """Return its resident memory, in KiB."""
        return self._status("VmRSS")

    def _status(self, field):
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(rf"{field}:\s+(\d+)", text)[1])


async def start_node(
    nursery, folder, log_address, service, zone, target, deployment="lango"
):
    """Start a node with a settings file and wait until it listens.

    Parameters
    ----------
    nursery : trio.Nursery
        Cancelling it kills the node.
    folder : Path
        Directory for the settings file and the log.
    log_address, service, zone : str
    target : str
        Address of the target.

    Returns
    -------
    node : NodeProcess
    """
    name = f"{service}-{zone}"
    settings = {
        "deployment": deployment,
        "node": name,
        "availability_zone": zone,
        "service": service,
        "target": {"address": target},
        "log_address": log_address,
    }
    settings |= {f"{listener}_address": f"{HOST}:0" for listener in LISTENERS}
    settings_path = folder / f"{name}.yaml"
    settings_path.write_text(yaml.safe_dump(settings))
    log = folder / f"{name}.log"
    command = [str(Path(sys.executable).parent / "jujuberudder"), str(settings_path)]
    with log.open("ab") as stream:
        start = log.stat().st_size
        process = await nursery.start(_run, command, stream)
    while (match := LISTENING_EVENT.search(log.read_text()[start:])) is None:
        await trio.sleep(0.02)
    return NodeProcess(name, process, match[1], match[4], log)


async def _run(command, stream, task_status):
    process = await trio.lowlevel.open_process(
        command, stdout=subprocess.DEVNULL, stderr=stream
    )
    task_status.started(process)
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
