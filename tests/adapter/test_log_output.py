"""Node processes whose standard output is not read or cannot be written."""

import os
import signal
from contextlib import closing, contextmanager

import pytest
import trio

from jujuberudder_emulator import CONFIGURATION, Deployment
from jujuberudder_emulator.soak import has_handler

# Requests after the output has failed, and the interval between two of them: several
# batches of log lines.
REQUESTS, REQUEST_INTERVAL_S = 30, 0.05


@contextmanager
def unread_pipe():
    """Yield a pipe that nobody reads, and a function that fills it."""
    reader, writer = os.pipe()

    def fill():
        # A descriptor of its own, because the node has to get one that blocks.
        descriptor = os.open(f"/proc/self/fd/{writer}", os.O_WRONLY | os.O_NONBLOCK)
        try:
            while os.write(descriptor, b"\n" * 4096):
                pass
        except BlockingIOError:
            os.close(descriptor)

    with os.fdopen(reader, "rb"), os.fdopen(writer, "wb", 0) as output:
        yield output, fill


@contextmanager
def closed_pipe():
    """Yield a pipe, and a function that closes the reader."""
    reader, writer = os.pipe()
    with os.fdopen(writer, "wb", 0) as output:
        yield output, lambda: os.close(reader)


@contextmanager
def full_device():
    """Yield a file without space for any byte."""
    with closing(open("/dev/full", "wb", 0)) as output:
        yield output, lambda: None


@pytest.mark.parametrize("make_output", [unread_pipe, closed_pipe, full_device])
def test_requests_are_answered_while_the_log_cannot_be_written(make_output, tmp_path):
    """Guards against a node that stands still or ends because of its log."""

    async def send_requests():
        async with trio.open_nursery() as nursery:
            deployment = Deployment(nursery)
            deployment.publish(CONFIGURATION)
            vm = deployment.add("vm-0", "orders")
            with make_output() as (output, fail_output):
                process = vm.start_process(tmp_path, output)
                try:
                    with trio.fail_after(30):
                        while not has_handler(process.pid, signal.SIGHUP):
                            await trio.sleep(0.01)
                        await deployment.wait_until(vm.is_ready)
                    await trio.sleep(1.0)
                    fail_output()
                    statuses = []
                    for _ in range(REQUESTS):
                        with trio.move_on_after(3.0):
                            # Without a route, so that it writes a line.
                            statuses.append((await vm.send_request("/x/")).status)
                            response = await vm.send_request("/orders/x", None, b"POST")
                            statuses.append(response.status)
                        await trio.sleep(REQUEST_INTERVAL_S)
                    process.send_signal(signal.SIGTERM)
                    with trio.fail_after(10):
                        while process.poll() is None:
                            await trio.sleep(0.05)
                finally:
                    process.kill()
            nursery.cancel_scope.cancel()
            return statuses, process.returncode

    statuses, code = trio.run(send_requests)
    assert statuses == [404, 200] * REQUESTS
    assert code == 0
