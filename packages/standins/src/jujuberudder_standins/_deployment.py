"""A deployment that runs in one process on the loopback interface."""

from typing import NamedTuple

import trio

from jujuberudder import Addresses, run_node
from jujuberudder_core import Settings, TargetSettings, encode_record, new_id, records

from ._listener import serve_app
from ._logservice import LogStandin
from ._target import TargetStandin


class Member(NamedTuple):
    """A node and its local target.

    Parameters
    ----------
    name : str
        Name of the node.
    availability_zone : str
    target : TargetStandin
    addresses : Addresses
        Addresses that the node listens on.
    scope : trio.CancelScope
        Cancelling it kills the node.
    stopping : trio.Event
        Setting it stops the node gracefully.
    """

    name: str
    availability_zone: str
    target: TargetStandin
    addresses: Addresses
    scope: trio.CancelScope
    stopping: trio.Event


class Deployment:
    """A log service with targets and nodes.

    Parameters
    ----------
    name : str
        Name of the deployment.
    nursery : trio.Nursery
        Runs all servers and nodes.
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
        """Start the log service on a free port."""
        self.log_address = await self._nursery.start(serve_app, self.log.app)

    def publish(self, name, text, base=0):
        """Append a section to the log, as a publish does, and return its version."""
        record = records.Section(new_id(), name, base, text)
        return self.log.put(f"{self._name}.sections", encode_record(record)) + 1

    async def start_member(
        self, service, availability_zone, target=None, target_address=None
    ):
        """Start a target and its local node.

        Parameters
        ----------
        service, availability_zone : str
        target : TargetStandin, default=None
            Created with default settings if None.
        target_address : str, default=None
            Address, host:port, of a running target to use instead of ``target``.

        Returns
        -------
        member : Member
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
        addresses = await self._nursery.start(_run_in_scope, scope, settings, stopping)
        member = Member(name, availability_zone, target, addresses, scope, stopping)
        self._members[name] = member
        return member

    def kill(self, name):
        """Kill a node: cancel all its tasks and close its sockets."""
        self._members[name].scope.cancel()


async def _run_in_scope(scope, settings, stopping, task_status):
    with scope:
        await run_node(settings, stopping, task_status=task_status)
