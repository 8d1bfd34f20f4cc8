"""A whole deployment in one process on loopback."""

from typing import NamedTuple

import trio

from jujuberudder import Addresses, run_node
from jujuberudder_core import Settings, TargetSettings, encode_record, new_id, records

from ._listener import serve_app
from ._logservice import LogStandin
from ._target import TargetStandin


class Member(NamedTuple):
    """A node and the target beside it."""

    name: str
    availability_zone: str
    target: TargetStandin
    addresses: Addresses
    scope: trio.CancelScope
    stopping: trio.Event


class Deployment:
    """A log service, targets and nodes.

    Parameters
    ----------
    name : str
    nursery : trio.Nursery
        Runs all of it.
    """

    def __init__(self, name, nursery):
        self._name = name
        self._nursery = nursery
        self._members = {}
        self.log = LogStandin()
        self.log_address = None

    @property
    def members(self):
        """Members by node name."""
        return self._members

    async def start_log(self):
        """Start the log service."""
        self.log_address = await self._nursery.start(serve_app, self.log.app)

    def publish(self, name, text, base=0):
        """Append a section as an operator's program does; return its version."""
        record = records.Section(new_id(), name, base, text)
        return self.log.put(f"{self._name}.sections", encode_record(record)) + 1

    async def start_member(
        self, service, availability_zone, target=None, target_address=None
    ):
        """Start a target and the node beside it.

        Parameters
        ----------
        service, availability_zone : str
        target : TargetStandin, default=None
            A standard one if None.
        target_address : str, default=None
            Of a target that runs already, in place of ``target``.
        """
        name = f"{service}-{availability_zone}"
        target = target or TargetStandin(name)
        address = target_address
        if address is None:
            address = await self._nursery.start(serve_app, target.app)
        settings = Settings(
            deployment=self._name,
            node=name,
            availability_zone=availability_zone,
            service=service,
            target=TargetSettings(address),
            log_address=self.log_address,
        )
        scope, stopping = trio.CancelScope(), trio.Event()
        addresses = await self._nursery.start(_in_scope, scope, settings, stopping)
        member = Member(name, availability_zone, target, addresses, scope, stopping)
        self._members[name] = member
        return member

    def kill(self, name):
        """End a node abruptly: all its tasks stop and its sockets close."""
        self._members[name].scope.cancel()


async def _in_scope(scope, settings, stopping, task_status):
    with scope:
        await run_node(settings, stopping, task_status=task_status)
