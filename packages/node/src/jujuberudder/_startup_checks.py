"""Checks of the settings against the VM and the log service, before a node starts."""

import errno
import os
import socket

import trio

from jujuberudder_core import UserError
from jujuberudder_logservice import LogClient

LOG_WAIT_S = 5.0
LOG_RETRY_S = 0.25
LISTENERS = ("client", "request", "control", "operator")


def check_listeners(settings, path):
    """Raise if an address of the settings cannot be listened on.

    Parameters
    ----------
    settings : Settings
    path : str
        The settings file, for the error.

    Raises
    ------
    UserError
    """
    for listener in LISTENERS:
        name = f"{listener}_address"
        address = getattr(settings, name)
        problem = _bind_problem(address)
        if problem:
            expected = "expected an address that can be listened on"
            raise UserError(f"{path}: $.{name}: {expected}, got {address}: {problem}")


def _bind_problem(address):
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
            probe.listen(1)
        except OSError as error:
            return os.strerror(error.errno or errno.EINVAL)
    return None


async def check_log_service(settings, path, stopping):
    """Raise if the log service cannot be read for `LOG_WAIT_S`.

    A node that starts while the log service is down could not be admitted.

    Parameters
    ----------
    settings : Settings
    path : str
    stopping : trio.Event

    Raises
    ------
    UserError
    """
    client = LogClient(settings.log_address)
    reason = f"no answer in {LOG_WAIT_S:g} s"
    try:
        with trio.move_on_after(LOG_WAIT_S):
            while not stopping.is_set():
                read = await client.read(f"{settings.deployment}.sections", 0)
                if read.is_ok():
                    return
                reason = read.err_value.reason
                await trio.sleep(LOG_RETRY_S)
        if not stopping.is_set():
            expected = "expected the address of a log service that answers"
            got = f"got {settings.log_address}: {reason}"
            raise UserError(f"{path}: $.log_address: {expected}, {got}")
    finally:
        with trio.move_on_after(1, shield=True):
            await client.aclose()
