"""Streaming of complete bodies through real processes with bounded memory."""

import hashlib

import pytest
import trio
from processes import start_node
from raw_http import (
    JOBS,
    OK,
    ScriptedTarget,
    connect,
    get_header,
    read_response,
    send_request,
)

from jujuberudder_core import encode_record, new_id, records
from jujuberudder_standins import Deployment, LogStandin, serve_app

MIB = 1024 * 1024
SIZE = 64 * MIB
# Room for the buffers of two hops and the interpreter; a node that buffers the whole
# body needs 64 MiB.
GROWTH_KIB = 24 * 1024


def chunk(number):
    """Return the 64 KiB at a position of the test body."""
    return hashlib.sha256(b"%d" % number).digest() * 2048


def digest_of(size):
    """Return the hash of a test body."""
    digest = hashlib.sha256()
    for number in range(size // 65536):
        digest.update(chunk(number))
    return digest.hexdigest()


async def hash_upload(stream, head):
    """Respond with the hash of the body, or with a large body to a download."""
    if head.startswith(b"GET /jobs/big "):
        await send_big(stream)
        return True
    digest, remaining_bytes = (
        hashlib.sha256(),
        int(get_header(head, "content-length") or 0),
    )
    while remaining_bytes:
        data = await stream.receive_some(min(65536, remaining_bytes))
        if not data:
            return False
        digest.update(data)
        remaining_bytes -= len(data)
    response_head = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n"
    await stream.send_all(response_head + digest.hexdigest().encode())
    return True


async def send_big(stream):
    """Send a large response."""
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
    for number in range(SIZE // 65536):
        await stream.send_all(chunk(number))


async def start_processes(nursery, folder, target):
    """Start a log service, an owner node and a node that has to forward."""
    log = LogStandin()
    log_address = await nursery.start(serve_app, log.app)
    text = JOBS.replace("3000000", str(SIZE)) + "deadline_ms: 60000\n"
    section = records.Section(new_id(), "jobs", 0, text)
    log.put("lango.sections", encode_record(section))
    address = await nursery.start(target.serve)
    nodes = [
        await start_node(nursery, folder, log_address, *member, address)
        for member in (("jobs", "dar-a"), ("dispatch", "dar-b"))
    ]
    for node in nodes:
        while (await send_request(node.client, "GET", "/jobs/ready")).status != 200:
            await trio.sleep(0.05)
    return nodes


async def upload(address, size, slowly=False):
    """Upload a test body and return the response."""
    stream = await connect(address)
    head = f"PUT /jobs/1 HTTP/1.1\r\nHost: test\r\nContent-Length: {size}\r\n\r\n"
    await stream.send_all(head.encode())
    for number in range(size // 65536):
        await stream.send_all(chunk(number))
        if slowly:
            await trio.sleep(0.01)
    return await read_response(stream)


async def download(address, slowly=False):
    """Download the test body and return ``(size, hash)``."""
    stream = await connect(address)
    await stream.send_all(b"GET /jobs/big HTTP/1.1\r\nHost: test\r\n\r\n")
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(65536)
    data = data.partition(b"\r\n\r\n")[2]
    digest, size = hashlib.sha256(data), len(data)
    if slowly:
        await trio.sleep(1.0)
    while size < SIZE and (data := await stream.receive_some(65536)):
        digest.update(data)
        size += len(data)
    return size, digest.hexdigest()


@pytest.mark.parametrize("direction", ["up", "down", "down to a slow client"])
async def test_large_bodies_are_streamed_unaltered(direction, tmp_path):
    """Guards against altering bodies or buffering them whole in memory."""
    async with trio.open_nursery() as nursery:
        target = ScriptedTarget(hash_upload)
        nodes = await start_processes(nursery, tmp_path, target)
        before = [node.peak_kib() for node in nodes]
        for node in nodes:
            if direction == "up":
                response = await upload(node.client, SIZE)
                assert response.body.decode() == digest_of(SIZE)
            else:
                slowly = direction != "down"
                received = await download(node.client, slowly)
                assert received == (SIZE, digest_of(SIZE))
        growth_kib = [n.peak_kib() - before_kib for n, before_kib in zip(nodes, before)]
        assert max(growth_kib) < GROWTH_KIB
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("how", ["owner lost", "shard moves"])
@pytest.mark.parametrize("expects", [False, True])
async def test_upload_reaches_the_new_owner(how, expects):
    """Guards against consuming a body before its shard changes owners."""
    size = 2 * MIB
    blocked, release = trio.Event(), trio.Event()

    async def blocking(stream, head):
        if head.startswith(b"POST"):
            blocked.set()
            await release.wait()
            await stream.receive_some(10)
            await stream.send_all(OK)
            return True
        return await hash_upload(stream, head)

    async with trio.open_nursery() as nursery:
        first, second = ScriptedTarget(blocking), ScriptedTarget(hash_upload)
        deployment = Deployment("lango", nursery)
        await deployment.start_log()
        deployment.publish("jobs", JOBS + "slots: 1\n")
        address = await nursery.start(first.serve)
        await deployment.start_member("jobs", "dar-a", target_address=address)
        entry = (await deployment.start_member("dispatch", "dar-b")).addresses.client
        while (await send_request(entry, "GET", "/jobs/ready")).status != 200:
            await trio.sleep(0.05)
        nursery.start_soon(send_request, entry, "POST", "/jobs/1", (), b"x")
        await blocked.wait()
        responses = []

        async def send():
            stream = await connect(entry)
            head = f"PUT /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n"
            head += "Expect: 100-continue\r\n\r\n" if expects else "\r\n"
            await stream.send_all(head.encode())
            if expects:
                assert (await stream.receive_some(9)) == b"HTTP/1.1 "
                assert (await stream.receive_some(65536)).startswith(b"100")
            for number in range(size // 65536):
                await stream.send_all(chunk(number))
            responses.append(await read_response(stream))

        async with trio.open_nursery() as sending:
            sending.start_soon(send)
            if how == "owner lost":
                await trio.sleep(0.2)
                deployment.kill("jobs-dar-a")
            address = await nursery.start(second.serve)
            await deployment.start_member("jobs", "dar-c", target_address=address)
            if how == "shard moves":
                text = JOBS + "slots: 1\ndrain: [jobs-dar-a]\n"
                deployment.publish("jobs", text, 1)
                await trio.sleep(0.3)
                release.set()
        assert responses[0].outcome == "completed"
        assert responses[0].body.decode() == digest_of(size)
        ran = [head for head in first.heads + second.heads if head[:3] == b"PUT"]
        assert len(ran) == 1
        nursery.cancel_scope.cancel()
