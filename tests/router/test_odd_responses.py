"""Responses of targets whose headers hold unexpected values."""

import pytest
import trio

from jujuberudder_emulator import run_deployment

DIGITS = b"9" * 5000


@pytest.mark.parametrize(
    "header",
    [
        (b"Keep-Alive", b"timeout=" + DIGITS),
        (b"Jujuberudder-Server-Load", b"%s,0,8" % DIGITS),
        (b"Jujuberudder-Server-Load", b"0,0," + DIGITS[:400]),
        (b"Server-Limit", DIGITS),
    ],
    ids=["keep-alive", "running", "slots", "limit"],
)
async def test_response_with_an_endless_number_reaches_the_client(header):
    """Guards against a response of the target that is replaced by a failure.

    A number of more than 4,300 digits is none to Python; one of more than 308 is none
    to a float.
    """
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        vm.target.stated_headers = [header]
        for _ in range(3):
            assert await serves()
        await trio.sleep(0.5)
        assert await serves()
