"""Test doubles on raw TCP: a scripted target, and a client that checks framing."""

from typing import NamedTuple

import h11
import trio

from jujuberudder_core import parse_section
from jujuberudder_standins import Deployment

JOBS = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET, HEAD]
max_body_bytes: 3000000
"""
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Response(NamedTuple):
    """A response as the client received it.

    Parameters
    ----------
    status : int
        0 if no response arrived.
    headers : dict of str to str
    body : bytes
    complete : bool
        Whether the response ended as its head announced.
    """

    status: int
    headers: dict
    body: bytes
    complete: bool

    @property
    def outcome(self):
        """Value of the outcome header, or None."""
        return self.headers.get("jujuberudder-outcome")


class ScriptedTarget:
    """A target that responds to health probes and runs a script for other requests.

    Parameters
    ----------
    script : async callable
        Called as ``script(stream, head)`` for each request; returns whether the
        connection is kept open.
    """

    def __init__(self, script):
        self._script = script
        self.heads = []
        self.connections = 0

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; started with the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream):
        self.connections += 1
        keep_open = True
        try:
            while keep_open:
                head = await read_head(stream)
                if head is None:
                    break
                if head.startswith(b"GET /health "):
                    await stream.send_all(OK)
                    continue
                self.heads.append(head)
                keep_open = await self._script(stream, head)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await trio.aclose_forcefully(stream)


async def read_head(stream):
    """Return the head of a request or response, or None at the end of the stream."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = await stream.receive_some(1)
        if not byte:
            return None
        head += byte
    return head


def get_header(head, name):
    """Return the value of a header in a raw head, or None."""
    for line in head.decode().split("\r\n")[1:]:
        key, _, value = line.partition(": ")
        if key.lower() == name:
            return value
    return None


async def connect(address):
    """Return a TCP stream to an address."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def send_request(address, method, path, headers=(), body=b""):
    """Send a request on a new connection and return the Response."""
    async with await connect(address) as stream:
        all_headers = [("Host", "test"), ("Content-Length", str(len(body))), *headers]
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in all_headers) + "\r\n"
        try:
            await stream.send_all(head.encode() + body)
        except trio.BrokenResourceError:
            pass
        return await read_response(stream, method)


async def read_response(stream, method="GET"):
    """Return the next Response on a stream."""
    reader = h11.Connection(h11.CLIENT)
    reader.send(h11.Request(method=method, target="/", headers=[("Host", "test")]))
    reader.send(h11.EndOfMessage())
    status, headers, body, complete = 0, {}, b"", False
    try:
        while not complete:
            event = reader.next_event()
            if event is h11.NEED_DATA:
                reader.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                complete = True
            elif isinstance(event, h11.ConnectionClosed):
                break
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        pass
    return Response(status, headers, body, complete)


async def start_scripted(nursery, script, section=JOBS):
    """Start a node with a scripted target and a node of another service.

    Parameters
    ----------
    nursery : trio.Nursery
    script : async callable
        Script of the target.
    section : str
        Section of the service ``jobs``.

    Returns
    -------
    target : ScriptedTarget
    addresses : list of str
        Client addresses of the owner and of a node that has to forward.
    deployment : Deployment
    """
    assert parse_section(section).is_ok()
    target = ScriptedTarget(script)
    deployment = Deployment("lango", nursery)
    await deployment.start_log()
    deployment.publish("jobs", section)
    address = await nursery.start(target.serve)
    await deployment.start_member("jobs", "dar-a", target_address=address)
    await deployment.start_member("dispatch", "dar-b")
    addresses = [member.addresses.client for member in deployment.members.values()]
    for client_address in addresses:
        while (await send_request(client_address, "GET", "/jobs/ready")).status != 200:
            await trio.sleep(0.02)
    target.heads.clear()
    return target, addresses, deployment
