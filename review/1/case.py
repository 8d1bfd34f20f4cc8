"""A server answers before it has read a long body, without a length, and is reset."""

import asyncio
import random
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins as s  # noqa: E402

# The longest upload of the users' sheets, and a short one; a small window, as on their
# links.
LONG, SHORT, LONG_FROM = bytes(360_000), bytes(4_000), 65536
WINDOW_BYTES = 8192
WHOLE = b"whole answer of the server, " * 40
# Limits of the pages: length of the disruption, share of all answers of a server, of
# those to long requests too. One server of two is concerned (limit 0.7).
LENGTH_S, ANSWER_SHARE, LONG_SHARE = 5.0, 0.05, 0.4
# A long request may be rejected before it is in, or be answered so.
EARLY_STATUSES = 500, 200
CLIENTS, LONG_UPLOADS_SHARE = 16, 0.15


class EarlyServer(s.Server):
    """Answers some long uploads after their first bytes, with no length.

    The whole answer ends with its connection. With the disruption, the connection is
    reset after half of the answer.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.disturbed = False
        self.answers = self.long_answers = self.early_answers = 0

    async def start(self, control_address):
        self.control_address = control_address
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.bind(s.split_address(self.address))
        await asyncio.start_server(self._serve, sock=sock, limit=WINDOW_BYTES)
        self.beats = asyncio.ensure_future(self._send_heartbeats())

    def _is_early(self, length):
        """Count an answer, and return whether it is one of the early ones."""
        if not self.disturbed:
            return False
        self.answers += 1
        self.long_answers += length >= LONG_FROM
        early = (
            length >= LONG_FROM
            and self.early_answers + 1 <= ANSWER_SHARE * self.answers
            and self.early_answers + 1 <= LONG_SHARE * self.long_answers
        )
        self.early_answers += early
        return early

    async def _serve(self, reader, writer):
        try:
            while (head := await s.read_head(reader)) is not None:
                message = s.Message(head[0], head[1], b"")
                length = int(message.headers.get("content-length", 0))
                refusal = self.foreign(message)
                if refusal is not None:
                    writer.write(refusal)
                    return
                request_id = self.begin(message)
                headers = self.common_headers(request_id)
                headers.append(("Jujuberudder-Server-Signature", f"s.{request_id}"))
                if self._is_early(length):
                    await self._answer_early(
                        reader, writer, request_id, headers, length
                    )
                    return
                await reader.readexactly(length)
                await asyncio.sleep(self.work_s)
                writer.write(s.http_response(200, headers, WHOLE))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _answer_early(self, reader, writer, request_id, headers, length):
        half = len(WHOLE) // 2
        status = EARLY_STATUSES[self.early_answers % 2]
        writer.write(s.http_response(status, headers, WHOLE[:half], length=False))
        await writer.drain()
        await asyncio.sleep(0.1)
        if s.trouble():
            self._record("reset", id=request_id, sent=half, whole=len(WHOLE))
            s.reset(writer)
            return
        self._record("early", id=request_id, whole=len(WHOLE))
        writer.write(WHOLE[half:])
        # The rest of the body is read, then the answer ends with the connection.
        await reader.readexactly(length)
        await writer.drain()
        writer.write_eof()


async def case(record, temporary, nodes):
    store = s.Store(record)
    await store.start()
    servers = [EarlyServer(record, "media", zone, 0.05) for zone in ("dar-a", "dar-b")]
    for server in servers:
        name = f"sidecar-media-{server.zone}"
        node = s.Node(temporary, record, name, server, store.address)
        nodes.append(node)
        await server.start(node.control)
    routes = [s.route("upload", "/upload/", "media", "upload")]
    store.put("keyed.op", "config", s.configuration(1, routes, ["media"]))
    for node in nodes:
        node.start()
    await s.wait_until(lambda: all_ready(nodes), 20, "the start")
    await asyncio.sleep(3.0)
    servers[0].disturbed = True
    ends_at, truncated, statuses = record.now() + LENGTH_S, [], []

    async def send_uploads(node):
        while record.now() < ends_at:
            body = LONG if random.random() < LONG_UPLOADS_SHARE else SHORT
            answer = await s.request(node, "/upload/x", body)
            request_id, status, headers, answer_body = answer
            record(
                "answer", id=request_id, sent=len(body), status=status,
                bytes=len(answer_body),
                signature=headers.get("jujuberudder-server-signature", ""),
            )  # fmt: skip
            statuses.append(status)
            # An answer with a signature is the server's; it looks complete here.
            signed = "jujuberudder-server-signature" in headers
            if signed and answer_body != WHOLE:
                truncated.append(status)

    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            group.create_task(send_uploads(nodes[number % 2]))
    record.show(
        "answers", all=len(statuses), of_server=servers[0].answers,
        early=servers[0].early_answers, truncated_200=truncated.count(200),
        truncated_500=truncated.count(500),
    )  # fmt: skip
    return bool(truncated)


async def all_ready(nodes):
    return all([await node.is_ready() for node in nodes])


s.run_case(case, FOLDER)
