"""Checks of the settings against the VM and the log service before a node starts."""

import errno
import os
import socket

import trio

from jujuberudder_core import UserError
from jujuberudder_logservice import LogClient

LOG_TIMEOUT_S = 5.0
LOG_RETRY_INTERVAL_S = 0.25
LISTENERS = ("client", "request", "control", "operator")


def check_listeners(settings, path):
    """Check that each listener address of the settings can be bound.

    Parameters
    ----------
    settings : Settings
    path : str
        Path of the settings file, for error messages.

    Raises
    ------
    UserError
        If an address cannot be listened on.
    """
    for listener in LISTENERS:
        name = f"{listener}_address"
        address = getattr(settings, name)
        bind_error = _bind_error(address)
        if bind_error:
            expected = "expected an address that can be listened on"
            raise UserError(
                f"{path}: $.{name}: {expected}, got {address}: {bind_error}"
            )


def _bind_error(address):
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
    """Check that the log service can be read.

    A node cannot be admitted while the log service is down.

    Parameters
    ----------
    settings : Settings
    path : str
        Path of the settings file, for error messages.
    stopping : trio.Event
        Ends the check without an error when set.

    Raises
    ------
    UserError
        If no read succeeds within `LOG_TIMEOUT_S`.
    """
    client = LogClient(settings.log_address)
    last_error = f"no answer in {LOG_TIMEOUT_S:g} s"
    try:
        with trio.move_on_after(LOG_TIMEOUT_S):
            while not stopping.is_set():
                read = await client.read(f"{settings.deployment}.sections", 0)
                if read.is_ok():
                    return
                last_error = read.err_value.reason
                await trio.sleep(LOG_RETRY_INTERVAL_S)
        if not stopping.is_set():
            expected = "expected the address of a log service that answers"
            got = f"got {settings.log_address}: {last_error}"
            raise UserError(f"{path}: $.log_address: {expected}, {got}")
    finally:
        with trio.move_on_after(1, shield=True):
            await client.aclose()
