"""Mistakes in the settings, reported by the real binary."""

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

REFUSED = {
    "unknown key": ({"clientaddress": "127.0.0.1:1"}, "line 7: $.clientaddress: unkn"),
    "unknown key below": (
        {"target": "\n  address: 127.0.0.1:9\n  fences: true"},
        "line 7: $.target.fences: unknown key",
    ),
    "wrong type": ({"service": "7"}, "line 4: $.service: expected `str`, got `int`"),
    "wrong type below": (
        {"target": "{address: '127.0.0.1:9', checks_fences: often}"},
        "line 5: $.target.checks_fences: expected `bool`",
    ),
    "missing field": ({"log_address": None}, "line 1: $.log_address: missing"),
    "missing field below": ({"target": "{}"}, "line 5: $.target.address: missing"),
    "target is no mapping": ({"target": "here"}, "line 5: $.target: expected `object`"),
    "host name": (
        {"client_address": "localhost:80"},
        "line 7: $.client_address: expected an IP address and port",
    ),
    "no port": ({"log_address": "127.0.0.1"}, "line 6: $.log_address: expected an IP"),
    "port 0 of a peer": ({"log_address": "127.0.0.1:0"}, "line 6: $.log_address: exp"),
    "override": (
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
    "log service that is down": (
        {},
        "$.log_address: expected the address of a log service that answers, got "
        "127.0.0.1:9",
    ),
}


def run_node(path):
    """Run the real binary until it ends; return exit code and output."""
    done = subprocess.run(
        [sys.executable, "-m", "jujuberudder", str(path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def check(path, text, expected):
    """Check that a settings file is refused in one line with exit code 2."""
    path.write_text(text, encoding="utf-8")
    code, output = run_node(path)
    assert output.startswith(f"jujuberudder: {path}: {expected}"), output
    assert (code, output.count("\n")) == (2, 1)


@pytest.mark.parametrize("changes, expected", REFUSED.values(), ids=REFUSED)
def test_mistakes_are_one_line(tmp_path, changes, expected):
    """Guards against a traceback or a hint that leaves out file or path."""
    data = {k: v for k, v in (SETTINGS | changes).items() if v is not None}
    text = "".join(f"{name}: {value}\n" for name, value in data.items())
    check(tmp_path / "settings.yaml", text, expected)


def test_address_in_use_is_one_line(tmp_path):
    """Guards against a traceback when two nodes share an address."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
        data = SETTINGS | {"operator_address": address}
        text = "".join(f"{name}: {value}\n" for name, value in data.items())
        expected = "$.operator_address: expected an address that can be listened on"
        check(tmp_path / "settings.yaml", text, expected)


@pytest.mark.parametrize("text", ["a: [", "a: 1\na: 2", "- 1", "", "\ta"])
def test_text_that_is_no_mapping_is_one_line(tmp_path, text):
    """Guards against a traceback from the YAML parser."""
    check(tmp_path / "settings.yaml", text, "line ")


def test_file_that_is_not_there_is_one_line(tmp_path):
    """Guards against a traceback for a wrong path."""
    code, output = run_node(tmp_path / "nowhere.yaml")
    expected = f"jujuberudder: {tmp_path}/nowhere.yaml: No such file or directory\n"
    assert (code, output) == (2, expected)
