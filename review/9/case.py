"""A rolling restart cuts downloads on pipelined connections."""

import asyncio
import itertools
import math
import os
import random
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins as s

# Lengths of responses: mean and maximum of the downloads in the site file.
MEAN_BYTES, SPREAD, MAX_BYTES = 90000, 0.6, 540000
READ_BYTES, READ_PAUSE_S = 16384, float(os.environ.get("PAUSE", 0.025))
WINDOW_BYTES = 32768
DEPTH = 2  # requests that a client sends before the first one is answered
DEADLINE_MS = 4215
CLIENTS = 16  # of each machine
GRACE_S, LOSS_SLACK_S, CONTACT_S = 6, 0.2, 3
GAP_S, ROUNDS = 3, 3  # between a restart and the next SIGTERM; of all machines


class Download(s.Upstream):
    """An upstream with long responses."""

    async def _handle(self, start, headers, body):
        data = await super()._handle(start, headers, body)
        if data.startswith(b"HTTP/1.1 200") and start.startswith("GET /archive/"):
            head, _, _ = data.partition(b"\r\n\r\n")
            lines = [x for x in head.split(b"\r\n") if b"content-length" not in x]
            size = int(
                random.lognormvariate(math.log(MEAN_BYTES) - SPREAD**2 / 2, SPREAD)
            )
            size = min(size, MAX_BYTES)
            lines.append(b"content-length: %d" % size)
            data = b"\r\n".join(lines) + b"\r\n\r\n" + bytes(size)
        return data


class Client:
    """Sends downloads on a kept connection, the next one before the last is answered.

    After a head with ``Connection: close`` it sends nothing more on the connection.
    """

    def __init__(self, vm, ids, record, results):
        self.vm, self.ids, self.record, self.results = vm, ids, record, results
        self.stopped = False

    async def run(self):
        while not self.stopped:
            try:
                await self._connection()
            except OSError:
                pass
            await asyncio.sleep(0.2)

    async def _connection(self):
        host, port = self.vm.addresses["outbound"].split(":")
        sock = socket.socket()
        # "Links have ... small windows, so a peer that does not read blocks the
        # writer."
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(loop.sock_connect(sock, (host, int(port))), 1)
        reader, writer = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
        outstanding, closes = [], False

        def send():
            request_id = f"q{next(self.ids)}"
            self.results[request_id] = {"vm": self.vm.name, "sent": s.now(), "end": ""}
            outstanding.append(request_id)
            writer.write(s.request_bytes("GET", "/archive/x", request_id, DEADLINE_MS))

        def end(how):
            result = self.results[outstanding.pop(0)]
            result["end"], result["ended"] = how, s.now()

        try:
            send()
            while outstanding:
                while len(outstanding) < DEPTH and not closes and not self.stopped:
                    await asyncio.sleep(0.02)
                    send()
                head = await reader.readuntil(b"\r\n\r\n")
                self.results[outstanding[0]]["head"] = s.now()
                lines = head.lower().split(b"\r\n")
                closes = closes or b"connection: close" in lines
                size = next(
                    int(x.split(b":")[1])
                    for x in lines
                    if x.startswith(b"content-length")
                )
                while size:
                    data = await reader.read(min(size, READ_BYTES))
                    if not data:
                        raise ConnectionResetError("closed within a response")
                    size -= len(data)
                    await asyncio.sleep(READ_PAUSE_S)
                end(f"status {head.split()[1].decode()}")
                if closes:
                    break
        except (OSError, asyncio.IncompleteReadError) as error:
            cut = outstanding[0] if outstanding else None
            if cut is not None:
                begun = "head" in self.results[cut]
                end(f"cut {'within its response' if begun else 'before its response'} "
                    f"({type(error).__name__})")  # fmt: skip
        finally:
            # Requests behind a response that closes count as not read.
            while outstanding:
                end("behind the end of its connection")
            writer.close()


async def run(record, trouble):
    d = s.Deployment(
        record, ["base", "drain", "config", "retry", "recover", "platform"]
    )
    ids, results, terms = itertools.count(), {}, []
    try:
        for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
            d.add(f"archive-{number}", "archive", zone)
        s.Upstream = Download
        await d.start(
            s.configuration(
                [s.route("archive", "archive", "download", timeout_s=4.2, goal_s=1.1)],
                [{"name": "archive"}],
            ),
            slots=12,
            work_s=(0.05, 0.12),
        )
        await asyncio.sleep(4)
        clients = [
            Client(vm, ids, record, results) for vm in d.vms for _ in range(CLIENTS)
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(6)
        for vm in d.vms * ROUNDS:
            terms.append((vm.name, s.now()))
            record("restart", vm=vm.name)
            if trouble:
                vm.process.send_signal(signal.SIGTERM)
                try:
                    await asyncio.wait_for(vm.process.wait(), GRACE_S)
                except asyncio.TimeoutError:
                    vm.process.kill()
                    await vm.process.wait()
                record("ended", vm=vm.name)
                await vm.start_node()
            else:
                await asyncio.sleep(GRACE_S)
            await asyncio.sleep(GAP_S)
        for client in clients:
            client.stopped = True
        await asyncio.wait(tasks, timeout=6)
    finally:
        await d.stop()
    ran = {}
    for vm in d.vms:
        for request_id, at in vm.upstream.ran:
            ran[request_id] = at
            record("ran", id=request_id, vm=vm.name, at=round(at - record.started, 3))
    lost = 0
    for request_id, r in results.items():
        planned = any(
            r["vm"] == vm and at <= r.get("ended", 0) and r["sent"] <= at + GRACE_S + 1
            for vm, at in terms
        )
        # Passed on to an upstream, whose answer was complete, and cut.
        broken = r["end"].startswith("cut") and request_id in ran and planned
        lost += broken
        record(
            "result", id=request_id, vm=r["vm"],
            sent=round(r["sent"] - record.started, 3),
            ended=round(r.get("ended", 0) - record.started, 3),
            how=f"{r['end']}{' LOST' * broken}",
        )  # fmt: skip
    whole = sum(r["end"] == "status 200" for r in results.values())
    cut = sum(r["end"].startswith("cut") for r in results.values())
    print(f"{len(results)} requests, {whole} whole, {cut} cut, {lost} of these lost")
    return lost


s.main(run)
