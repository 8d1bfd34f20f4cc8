"""The faults of the proxy affect the connections that pass through it."""

import random

import pytest
import trio

from jujuberudder_standins import Network, ProxyLink

HOST = "127.0.0.1"


async def echo(stream):
    """Send each received chunk back."""
    async with stream:
        async for data in stream:
            await stream.send_all(data)


@pytest.fixture
async def network(nursery):
    """Return a network with a link from ``a`` to the echo server ``b``."""
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    nursery.start_soon(trio.serve_listeners, echo, listeners)
    network = Network(nursery)
    port = listeners[0].socket.getsockname()[1]
    network.address = await network.link("a", "b", f"{HOST}:{port}", HOST)
    return network


async def connect(network):
    """Return a connection through the proxy."""
    host, _, port = network.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def exchange(stream, data=b"x"):
    """Return the echo of the data, or None if it does not arrive within 0.5 s."""
    await stream.send_all(data)
    received = b""
    with trio.move_on_after(0.5):
        while len(received) < len(data):
            chunk = await stream.receive_some()
            if not chunk:
                raise trio.BrokenResourceError
            received += chunk
        return received
    return None


async def test_bytes_pass_unchanged_and_are_counted(network):
    """Guards against a proxy that alters bytes or does not count all of them."""
    data = random.Random(1).randbytes(300_000)
    async with await connect(network) as stream:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, data)
            received = b""
            while len(received) < len(data):
                received += await stream.receive_some()
    assert received == data
    assert network.path("a", "b").forwarded_bytes == len(data)
    assert network.path("b", "a").forwarded_bytes == len(data)


@pytest.mark.parametrize("cut", [("a", "b"), ("b", "a")])
async def test_cut_delays_the_bytes_of_one_direction(network, cut):
    """Guards against a cut that passes bytes on, or that drops them."""
    other = network.path(*reversed(cut))
    async with await connect(network) as stream:
        assert await exchange(stream) == b"x"
        before = other.forwarded_bytes
        network.path(*cut).cut()
        assert await exchange(stream) is None
        assert other.forwarded_bytes == before + (cut == ("b", "a"))
        network.path(*cut).heal()
        assert await stream.receive_some() == b"x"


@pytest.mark.parametrize("silenced", [("a", "b"), ("b", "a")])
async def test_silence_holds_back_the_bytes_of_open_connections(network, silenced):
    """Guards against a silence that passes bytes or the end on, or lasts for others."""
    async with await connect(network) as stream, await connect(network) as ended:
        assert await exchange(stream) == await exchange(ended) == b"x"
        network.path(*silenced).silence()
        assert await exchange(stream) is None
        await ended.send_eof()
        with trio.move_on_after(0.5) as waiting:
            await ended.receive_some()
        assert waiting.cancelled_caught
    async with await connect(network) as stream:
        assert await exchange(stream) == b"x"


async def test_answer_is_lost_after_the_request_has_arrived(network):
    """Guards against a fault that loses the request along with its answer."""
    network.path("b", "a").pending_resets = 1
    async with await connect(network) as stream:
        with pytest.raises(trio.BrokenResourceError):
            await exchange(stream)
    assert network.path("a", "b").forwarded_bytes == 1
    assert network.path("b", "a").forwarded_bytes == 0
    async with await connect(network) as stream:
        assert await exchange(stream) == b"x"


async def test_reset_ends_the_connection(network):
    """Guards against a reset after which bytes still arrive."""
    network.path("a", "b").reset_share = 1.0
    async with await connect(network) as stream:
        with pytest.raises(trio.BrokenResourceError):
            await exchange(stream)
    assert network.path("a", "b").forwarded_bytes == 0


@pytest.mark.parametrize(
    "faults, least_s",
    [
        ({}, 0.0),
        ({"delay_s": 0.3}, 0.3),
        ({"delay_s": 0.1, "stall_share": 1.0}, 0.3),
    ],
)
def test_delays_add_up(faults, least_s):
    """Guards against a link that applies only one of its delays."""
    link = ProxyLink(random.Random(1))
    for name, value in faults.items():
        setattr(link, name, value)
    assert link.draw_delay_s() == pytest.approx(least_s)
    link.heal()
    assert link.draw_delay_s() == 0.0


def test_loss_is_deterministic_for_a_seed():
    """Guards against faults that differ between runs of one seed."""

    def sample_losses():
        link = ProxyLink(random.Random("7 a b"))
        link.reset_share = 0.5
        return [link.should_reset() for _ in range(50)]

    assert sample_losses() == sample_losses()
    assert set(sample_losses()) == {True, False}
