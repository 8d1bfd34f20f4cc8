"""``jujuberudderctl inspect`` on nodes of the emulated platform."""

import sys

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router import _ownership
from jujuberudder_router._grant_calls import RENEWAL_SHARE


async def inspect(*arguments):
    """Run the command and return its exit code, output and error output."""
    command = [sys.executable, "-m", "jujuberudderctl", "inspect", *arguments]
    process = await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )
    return process.returncode, process.stdout.decode(), process.stderr.decode()


# Duration of the grants in a test that starts the command, in seconds: a process may
# take over a second to start on a busy machine.
LONG_GRANT_S = 8.0


async def test_open_calls_and_held_ranges(monkeypatch):
    """Guards against calls without a response that an operator cannot see."""
    monkeypatch.setattr(_ownership, "GRANT_TTL_S", LONG_GRANT_S)
    async with run_deployment("sheets") as deployment:
        await deployment.wait_until(deployment.serves_keys)
        vm = deployment.vms["vm-0"]
        vm.target.call_faults.late = 100
        # The keys are used until the last grant with a response expires; by then the
        # command has to have run.
        await trio.sleep(LONG_GRANT_S * RENEWAL_SHARE + 0.5)
        code, output, _ = await inspect(vm.ready_address, "--json")
        state = msgspec.json.decode(output)
        assert code == 0
        assert state["keys"]["granted_by"] == "call"
        (usable,) = state["keys"]["usable"]
        assert (usable["start"], usable["end"]) == (0, 65535)
        calls = state["keys"]["open_calls"]
        assert calls and all(0 <= c["sent_s_ago"] and c["left_s"] > 0 for c in calls)
        code, output, _ = await inspect(vm.ready_address)
        assert code == 0
        assert "keys.open_calls:" in output and "SENT_S_AGO" in output


async def test_owner_of_a_key():
    """Guards against an answer that names another owner than the key map."""
    async with run_deployment("jobs", "orders") as deployment:
        await deployment.wait_until(deployment.serves_keys)
        address = deployment.vms["vm-1"].ready_address
        arguments = ("--key", "77", "--service", "jobs", "--json")
        code, output, _ = await inspect(address, *arguments)
        state = msgspec.json.decode(output)
        assert code == 0
        assert (state["owner"], state["known_to"]) == ("vm-0", "vm-1")
        assert state["target"].startswith(deployment.vms["vm-0"].target.id)
        assert state["range"] == [0, 65535] and not state["suspected"]


@pytest.mark.parametrize(
    "arguments, code, message",
    [
        (("127.0.0.1:1", "--key", "5"), 2, "give --key and --service together"),
        (("127.0.0.1:1", "--key", "70000", "--service", "s"), 2, "0 to 65535"),
        (("127.0.0.1:1",), 4, "127.0.0.1:1"),
    ],
)
async def test_errors_of_users(arguments, code, message):
    """Guards against a traceback, or an exit code of success, for a user's error."""
    result = await inspect(*arguments)
    assert result[0] == code
    assert result[1] == "" and message in result[2] and result[2].count("\n") == 1
