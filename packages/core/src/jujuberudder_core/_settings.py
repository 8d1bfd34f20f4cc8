"""Settings of a node, read from a YAML file."""

import ipaddress
from typing import Annotated, NamedTuple, Required, TypedDict

from msgspec import Meta
from result import Err

from jujuberudder_base import UserError

from ._documents import Document, Problem, convert_document, read_document

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]*$", max_length=63)]


class TargetSettings(NamedTuple):
    """The local target of the node.

    Parameters
    ----------
    address : str
        ``host:port``.
    checks_fences : bool
        Whether the target refuses requests with a superseded fence; the node does not
        use this value.
    """

    address: str
    checks_fences: bool = True


class Settings(NamedTuple):
    """Settings of a node; addresses are ``host:port`` with an IP address as host.

    Parameters
    ----------
    address_overrides : dict of str to str
        Addresses that replace advertised ones, e.g. behind network address translation.
    """

    deployment: str
    node: str
    availability_zone: str
    service: str
    target: TargetSettings
    log_address: str
    client_address: str = "127.0.0.1:0"
    request_address: str = "127.0.0.1:0"
    control_address: str = "127.0.0.1:0"
    operator_address: str = "127.0.0.1:0"
    address_overrides: dict[str, str] = {}


class _TargetSchema(TypedDict, total=False):
    address: Required[str]
    checks_fences: bool


class _SettingsSchema(TypedDict, total=False):
    deployment: Required[Name]
    node: Required[Name]
    availability_zone: Required[Name]
    service: Required[Name]
    target: Required[_TargetSchema]
    log_address: Required[str]
    client_address: str
    request_address: str
    control_address: str
    operator_address: str
    address_overrides: dict[str, str]


LISTENERS = (
    "client_address",
    "request_address",
    "control_address",
    "operator_address",
)


def load_settings(path):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str

    Returns
    -------
    settings : Settings

    Raises
    ------
    UserError
        One line with the file, the line, the path in the file and the expected value.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise UserError(f"{path}: expected UTF-8 text") from error
    document = read_document(text)
    if document.is_err():
        raise UserError(f"{path}: {document.err_value}")
    return _convert_settings(document.ok_value, path)


def parse_settings(data, path="settings"):
    """Return settings from decoded YAML; raise errors as `load_settings` does."""
    return _convert_settings(Document(data, {}), path)


def _convert_settings(document, path):
    checked = convert_document(document, _SettingsSchema)
    if checked.is_ok():
        problem = _find_address_problem(document, checked.ok_value)
        checked = Err(problem) if problem else checked
    if checked.is_err():
        raise UserError(f"{path}: {checked.err_value}")
    fields = dict(checked.ok_value)
    target = TargetSettings(**fields.pop("target"))
    return Settings(target=target, **fields)


def _find_address_problem(document, data):
    listeners = {name: data[name] for name in LISTENERS if name in data}
    peers = {"log_address": data["log_address"]}
    peers["target.address"] = data["target"]["address"]
    for old, new in data.get("address_overrides", {}).items():
        peers[f"address_overrides.{old}"] = new
    for name, value in (listeners | peers).items():
        port = _parse_port(value)
        if port is None or (port == 0 and name in peers):
            reason = f"expected an IP address and port, host:port, got {value!r}"
            return Problem(f"$.{name}", document.line(f"$.{name}"), reason)
    fixed = [value for value in listeners.values() if _parse_port(value)]
    for name, value in listeners.items():
        if fixed.count(value) > 1:
            reason = f"{value} is used by two listeners"
            return Problem(f"$.{name}", document.line(f"$.{name}"), reason)
    return None


def _parse_port(address):
    """Return the port of an address, or None if it is not ``IP:port``."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return None
    return int(port) if port.isdecimal() and int(port) <= 65535 else None
