"""Settings of a node, read from one YAML file."""

from typing import NamedTuple, TypedDict

import msgspec
import yaml

from ._errors import UserError


class TargetSettings(NamedTuple):
    """The target beside the node."""

    address: str
    checks_fences: bool = True


class Settings(NamedTuple):
    """Settings of a node. Addresses are ``host:port`` with an IP address as host.

    Parameters
    ----------
    address_overrides : dict of str to str
        Addresses to use in place of advertised ones, e.g. behind address translation.
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


class _TargetFile(TypedDict, total=False):
    address: str
    checks_fences: bool


class _SettingsFile(TypedDict, total=False):
    deployment: str
    node: str
    availability_zone: str
    service: str
    target: _TargetFile
    log_address: str
    client_address: str
    request_address: str
    control_address: str
    operator_address: str
    address_overrides: dict[str, str]


_REQUIRED = ("deployment", "node", "availability_zone", "service", "target")


def load_settings(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str

    Returns
    -------
    settings : Settings

    Raises
    ------
    UserError
        One line with file, path in the file and what is expected.
    """
    try:
        with open(path, encoding="utf-8") as file:
            data = yaml.safe_load(file)
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except yaml.YAMLError as error:
        raise UserError(f"{path}: {' '.join(str(error).split())}") from error
    return parse_settings(data, path)


def parse_settings(data, path="settings"):
    """Return checked settings from decoded YAML; errors as in `load_settings`."""
    try:
        checked = msgspec.convert(data, _SettingsFile)
    except msgspec.ValidationError as error:
        raise UserError(f"{path}: {error}") from error
    _check_keys(data, path)
    target = TargetSettings(**checked.pop("target"))
    return Settings(target=target, **checked)


def _check_keys(data, path):
    for name in _REQUIRED + ("log_address",):
        if name not in data:
            raise UserError(f"{path}: $.{name}: missing")
    if "address" not in data["target"]:
        raise UserError(f"{path}: $.target.address: missing")
    known = {"$.": _SettingsFile, "$.target.": _TargetFile}
    for prefix, names in (("$.", data), ("$.target.", data["target"])):
        for name in names:
            if name not in known[prefix].__annotations__:
                raise UserError(f"{path}: {prefix}{name}: unknown key")
    addresses = [(k, v) for k, v in data.items() if k.endswith("_address")]
    addresses.append(("target.address", data["target"]["address"]))
    for name, value in addresses:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            raise UserError(f"{path}: $.{name}: expected host:port, got {value!r}")
