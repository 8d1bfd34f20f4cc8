"""Errors in the settings, as reported by the node's real executable."""

import socket
import subprocess
import sys

import pytest

SETTINGS = {
    "deployment": "lango",
    "node": "jobs-dar-a",
    "availability_zone": "dar-a",
    "service": "jobs",
    "target": "{address: '127.0.0.1:9'}",
    "log_address": "127.0.0.1:9",
}

INVALID = {
    "unknown key": ({"clientaddress": "127.0.0.1:1"}, "line 7: $.clientaddress: unkn"),
    "unknown nested key": (
        {"target": "\n  address: 127.0.0.1:9\n  fences: true"},
        "line 7: $.target.fences: unknown key",
    ),
    "wrong type": ({"service": "7"}, "line 4: $.service: expected `str`, got `int`"),
    "wrong nested type": (
        {"target": "{address: '127.0.0.1:9', checks_fences: often}"},
        "line 5: $.target.checks_fences: expected `bool`",
    ),
    "missing field": ({"log_address": None}, "line 1: $.log_address: missing"),
    "missing nested field": ({"target": "{}"}, "line 5: $.target.address: missing"),
    "target is not a mapping": (
        {"target": "here"},
        "line 5: $.target: expected `object`",
    ),
    "host name": (
        {"client_address": "localhost:80"},
        "line 7: $.client_address: expected an IP address and port",
    ),
    "no port": ({"log_address": "127.0.0.1"}, "line 6: $.log_address: expected an IP"),
    "port 0 of a peer": ({"log_address": "127.0.0.1:0"}, "line 6: $.log_address: exp"),
    "invalid address override": (
        {"address_overrides": "\n  10.0.0.1:7: elsewhere"},
        "line 8: $.address_overrides.10.0.0.1:7: expected an IP address",
    ),
    "one address twice": (
        {"client_address": "127.0.0.1:1", "request_address": "127.0.0.1:1"},
        "line 7: $.client_address: 127.0.0.1:1 is used by two listeners",
    ),
    "address of another VM": (
        {"control_address": "192.0.2.1:7000"},
        "$.control_address: expected an address that can be listened on, got "
        "192.0.2.1:7000: Cannot assign requested address",
    ),
    "log service does not answer": (
        {},
        "$.log_address: expected the address of a log service that answers, got "
        "127.0.0.1:9",
    ),
}


def run_node(path):
    """Run the node until it exits; return its exit code and output."""
    completed = subprocess.run(
        [sys.executable, "-m", "jujuberudder", str(path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


def assert_one_line_error(path, text, expected):
    """Assert that a settings file causes a one-line error and exit code 2."""
    path.write_text(text, encoding="utf-8")
    code, output = run_node(path)
    assert output.startswith(f"jujuberudder: {path}: {expected}"), output
    assert (code, output.count("\n")) == (2, 1)


@pytest.mark.parametrize("changes, expected", INVALID.values(), ids=INVALID)
def test_invalid_settings_give_one_line(tmp_path, changes, expected):
    """Guards against a traceback, or an error without file or path."""
    data = {k: v for k, v in (SETTINGS | changes).items() if v is not None}
    text = "".join(f"{name}: {value}\n" for name, value in data.items())
    assert_one_line_error(tmp_path / "settings.yaml", text, expected)


def test_address_in_use_gives_one_line(tmp_path):
    """Guards against a traceback if two nodes have the same address."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
        data = SETTINGS | {"operator_address": address}
        text = "".join(f"{name}: {value}\n" for name, value in data.items())
        expected = "$.operator_address: expected an address that can be listened on"
        assert_one_line_error(tmp_path / "settings.yaml", text, expected)


@pytest.mark.parametrize("text", ["a: [", "a: 1\na: 2", "- 1", "", "\ta"])
def test_malformed_text_gives_one_line(tmp_path, text):
    """Guards against a traceback from the YAML parser."""
    assert_one_line_error(tmp_path / "settings.yaml", text, "line ")


def test_missing_file_gives_one_line(tmp_path):
    """Guards against a traceback for a path that does not exist."""
    code, output = run_node(tmp_path / "nowhere.yaml")
    expected = f"jujuberudder: {tmp_path}/nowhere.yaml: No such file or directory\n"
    assert (code, output) == (2, expected)
