"""Who is at the other end of a connection between nodes, by VM and process."""

import errno
import os
from contextlib import asynccontextmanager

import pytest
import trio

from jujuberudder_emulator import free_addresses
from jujuberudder_router import VM, parse_address
from jujuberudder_router._frame_stream import FrameStream
from jujuberudder_router._frames import (
    ForwardRequest,
    Hello,
    Load,
    Ping,
    Pong,
    ReleaseReport,
    StoreCall,
    Update,
    encode_frame,
)
from jujuberudder_router._peer_link import HELLO_TIMEOUT_S, LinkCallbacks, PeerLink
from jujuberudder_router._peer_server import PeerHandlers, serve_links

LOAD = Load(1, 0, 4, 0.0, 0.1, True)
REQUEST = ForwardRequest(
    1, "r", b"GET", b"/", [], b"", 1.0, 1.0, 1, None, "s", "s", "r"
)


class Recorder:
    """Records the log events of a link, and the frames that a node acts on."""

    def __init__(self):
        self.events = []
        self.frames = []

    def log(self, event, **fields):
        """Record a log event."""
        self.events.append((event, fields))

    def reasons(self, event):
        """Return the reasons of the recorded events of a kind."""
        return [fields["reason"] for name, fields in self.events if name == event]

    async def serve(self, address, hello, load=LOAD):
        """Accept connections as the node that ``hello`` names."""

        async def record(frame):
            self.frames.append(frame)
            return b"", "recorded"

        def on_ping(vm, ping):
            self.frames.append(ping)
            return ping.progress

        def ignore(*arguments):
            pass

        handlers = PeerHandlers(
            record, record, lambda: load, on_ping, self.frames.append, ignore,
            self.frames.append,
        )  # fmt: skip
        await serve_links(parse_address(address), hello, handlers, self.log)


@asynccontextmanager
async def run_link(address, recorder):
    """Run a link of the VM a to the VM b at an address."""
    vm = VM("b", "1", address, "z", "s")
    callbacks = LinkCallbacks(
        lambda: 0.5,
        lambda vm, sent_at: Ping(sent_at),
        lambda vm: None,
        lambda vm, progress, sent_at: recorder.frames.append(progress),
        recorder.frames.append,
        lambda vm, load: None,
        recorder.log,
    )
    link = PeerLink(vm, Hello("a", "1", "b"), callbacks)
    link.keep(True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        yield link
        nursery.cancel_scope.cancel()


async def wait_until(condition, limit_s=5.0):
    """Wait until ``condition()`` is true."""
    with trio.fail_after(limit_s):
        while not condition():
            await trio.sleep(0.01)


def answer_with(*frames):
    """Return a handler that sends frames to each peer and reads on."""

    async def handle(stream):
        for frame in frames:
            await stream.send_all(encode_frame(frame))
        async for _ in stream:
            pass

    return handle


async def close_at_once(stream):
    """Close a connection without an answer."""
    await stream.receive_some()


@pytest.mark.parametrize(
    "handle, reason",
    [
        (answer_with(Hello("c", "1")), "the address belongs to c"),
        (answer_with(Pong(0.0, LOAD)), "does not name its sender"),
        (answer_with(), f"no answer in {HELLO_TIMEOUT_S} s"),
        (close_at_once, "closed before the first frame"),
    ],
    ids=["another VM", "no name", "silent", "closes"],
)
async def test_link_to_a_process_that_is_not_the_vm_stays_down(handle, reason):
    """Guards against a lost VM that counts as reachable because of its successor."""
    address, recorder = free_addresses(1)[0], Recorder()
    host, port = parse_address(address)
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_tcp, handle, port)
        async with run_link(address, recorder) as link:
            await wait_until(lambda: recorder.events)
            idle_s = link.idle_s
            await trio.sleep(0.3)
            assert link.lost and not link.up and not link.connected
            assert link.idle_s >= idle_s + 0.3 and link.load is None
            assert recorder.frames == []
            # Only another VM that names itself shows that the process has ended.
            assert (link.displaced_at is not None) == ("belongs" in reason)
            assert reason in recorder.reasons("peer_connect_failed")[0]
        nursery.cancel_scope.cancel()


async def test_load_of_a_vm_ends_with_its_process(nursery):
    """Guards against requests chosen by the load that an earlier process reported."""
    address, recorder = free_addresses(1)[0], Recorder()
    async with run_link(address, recorder) as link:
        async with trio.open_nursery() as first:
            first.start_soon(recorder.serve, address, Hello("b", "1"))
            await wait_until(lambda: link.load)
            first.cancel_scope.cancel()
        await wait_until(lambda: link.lost)
        nursery.start_soon(recorder.serve, address, Hello("b", "2"), None)
        await wait_until(lambda: link.up)
        assert link.node_incarnation == "2" and link.load is None


async def test_link_returns_with_its_vm(nursery):
    """Guards against a VM that stays lost after its address was with another one."""
    address, recorder = free_addresses(1)[0], Recorder()
    async with run_link(address, recorder) as link:
        async with trio.open_nursery() as other:
            other.start_soon(recorder.serve, address, Hello("c", "1"))
            await wait_until(lambda: link.displaced_at is not None)
            assert not link.up
            other.cancel_scope.cancel()
        nursery.start_soon(recorder.serve, address, Hello("b", "1"))
        await wait_until(lambda: link.up)
        assert link.displaced_at is None
    assert "a looks for b here" in recorder.reasons("peer_connection_lost")


@pytest.mark.parametrize(
    "hello",
    [Hello("a", "1", "c"), Hello("a", "1"), Ping(0.0)],
    ids=["for another VM", "for no VM", "no name"],
)
async def test_frames_for_another_vm_are_not_acted_on(nursery, hello):
    """Guards against requests, store calls and reports that reach the wrong VM.

    A ping carries how far a node has read, by which leases are renewed.
    """
    address, recorder = free_addresses(1)[0], Recorder()
    nursery.start_soon(recorder.serve, address, Hello("b", "1"))
    await trio.sleep(0.05)
    stream = FrameStream(await trio.open_tcp_stream(*parse_address(address)))
    stream.send(hello)
    report = ReleaseReport("a", "1", [(0, 9, 1, "t", "")])
    update = Update("fleet", 0, 1, [(0, "vm/c", b"x")])
    for frame in (Ping(0.0), REQUEST, StoreCall(2, b"x"), report, update):
        stream.send(frame)
    await wait_until(lambda: recorder.reasons("peer_connection_lost"))
    assert recorder.frames == []
    stream.close()


@pytest.mark.parametrize(
    "vm, node_incarnation, accepted",
    [("a", "1", True), ("a", "0", False), ("c", "1", False)],
    ids=["own", "earlier process", "another VM"],
)
async def test_releases_are_accepted_only_from_the_process_that_made_them(
    nursery, vm, node_incarnation, accepted
):
    """Guards against keys handed over although their VM did not release them."""
    address, recorder = free_addresses(1)[0], Recorder()
    nursery.start_soon(recorder.serve, address, Hello("b", "1"))
    await trio.sleep(0.05)
    stream = FrameStream(await trio.open_tcp_stream(*parse_address(address)))
    stream.send(Hello("a", "1", "b"))
    assert await stream.receive() == [Hello("b", "1")]
    report = ReleaseReport(vm, node_incarnation, [(0, 9, 1, "t", "")])
    stream.send(report)
    stream.send(Ping(0.0))
    assert [type(f) for f in await stream.receive()] == [Pong]
    assert (report in recorder.frames) == accepted
    stream.close()


@pytest.mark.parametrize("number", ["EMFILE", "ENOMEM", "ENOBUFS", "EINVAL"])
async def test_failed_accept_of_a_peer_is_logged_and_tried_again(
    number, monkeypatch, capfd, nursery
):
    """Guards against a failed accept that ends the node, or blocks it by a message.

    Nobody may read stderr, so that a pipe of it becomes full.
    """
    error, accept, failures = getattr(errno, number), trio.SocketListener.accept, []

    async def fail_first(listener):
        if len(failures) < 3:
            failures.append(error)
            raise OSError(error, os.strerror(error))
        return await accept(listener)

    monkeypatch.setattr(trio.SocketListener, "accept", fail_first)
    address, server, recorder = free_addresses(1)[0], Recorder(), Recorder()
    nursery.start_soon(server.serve, address, Hello("b", "1"))
    async with run_link(address, recorder) as link:
        await wait_until(lambda: link.up)
    assert len(server.reasons("accept_failed")) == 3
    assert capfd.readouterr().err == ""
