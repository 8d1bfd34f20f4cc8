"""A server answers before it has read a long body, without a length, and is reset."""

import asyncio
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins as s  # noqa: E402

# The longest upload of the users' sheets, and a small window, as their links have.
BODY = b"x" * 360_000
WINDOW_BYTES = 8192
WHOLE = b"whole answer of the server, " * 40
REQUESTS = 20


class EarlyServer(s.Server):
    """Answers an upload after its first bytes, with no length.

    The whole answer ends with its connection. With the disruption, the connection is
    reset after half of the answer.
    """

    async def start(self, control_address):
        self.control_address = control_address
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.bind(s.split_address(self.address))
        await asyncio.start_server(self._serve, sock=sock, limit=WINDOW_BYTES)
        self.beats = asyncio.ensure_future(self._send_heartbeats())

    async def _serve(self, reader, writer):
        try:
            while (head := await s.read_head(reader)) is not None:
                message = s.Message(head[0], head[1], b"")
                first = await reader.read(1000)
                refusal = self.foreign(message)
                if refusal is not None:
                    writer.write(refusal)
                    return
                request_id = self.begin(message)
                headers = self.common_headers(request_id)
                headers.append(("Jujuberudder-Server-Signature", f"s.{request_id}"))
                half = len(WHOLE) // 2
                writer.write(s.http_response(200, headers, WHOLE[:half], length=False))
                await writer.drain()
                await asyncio.sleep(0.2)
                if s.trouble():
                    self._record("reset", id=request_id, sent=half, whole=len(WHOLE))
                    s.reset(writer)
                    return
                writer.write(WHOLE[half:])
                # The rest of the body is read, then the answer ends.
                left = int(message.headers["content-length"]) - len(first)
                while left > 0 and (data := await reader.read(1 << 20)):
                    left -= len(data)
                await writer.drain()
                writer.write_eof()
                return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


async def case(record, temporary, nodes):
    store = s.Store(record)
    await store.start()
    server = EarlyServer(record, "media", "dar-a")
    node = s.Node(temporary, record, "sidecar-media-dar-a", server, store.address)
    nodes.append(node)
    await server.start(node.control)
    routes = [s.route("upload", "/upload/", "media", "upload")]
    store.put("keyed.op", "config", s.configuration(1, routes, ["media"]))
    node.start()
    await s.wait_until(node.is_ready, 20, "the start")
    await asyncio.sleep(2.0)
    wrong = 0
    for _ in range(REQUESTS):
        request_id, status, headers, body = await s.request(node, "/upload/x", BODY)
        complete = body == WHOLE
        record(
            "answer", id=request_id, status=status, bytes=len(body),
            signature=headers.get("jujuberudder-server-signature", ""),
        )  # fmt: skip
        wrong += status == 200 and not complete
        if not s.trouble() and not (status == 200 and complete):
            record("unexpected", id=request_id, status=status)
    record.show("truncated_successes", count=wrong, of=REQUESTS)
    return wrong > 0


s.run_case(case, FOLDER)
