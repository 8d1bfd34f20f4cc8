"""What the log tells about the memory of a process that may be killed."""

import mmap
from types import SimpleNamespace

import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router._process_memory import resident_bytes, watch_memory


@pytest.mark.parametrize(
    "samples_mb, logged_mb",
    [
        pytest.param([25, 26, 28], [], id="below the first step"),
        pytest.param([25, 35, 38, 62, 95, 30, 95], [35, 62, 95], id="each step once"),
    ],
)
async def test_growth_of_the_memory_is_logged(
    samples_mb, logged_mb, nursery, autojump_clock
):
    """Guards against a process that is killed for its memory without a trace."""
    lines, samples = [], iter(samples_mb)
    node = SimpleNamespace(
        settings=SimpleNamespace(memory_bytes=300_000_000),
        log=lambda event, **fields: lines.append((event, fields)),
        resident_bytes=0,
    )

    def read_bytes():
        megabytes = next(samples, None)
        if megabytes is None:
            raise OSError("no more samples")
        return megabytes * 1_000_000

    with trio.fail_after(60):
        await watch_memory(node, read_bytes)
    assert [f["resident_mb"] for e, f in lines if e == "memory"] == logged_mb
    assert lines[-1][0] == "memory_unknown"


def test_resident_memory_is_that_of_this_process():
    """Guards against a unit or a column of the system's file that is mistaken."""
    before = resident_bytes()
    # Not by the allocator, which may take what earlier tests have given back.
    with mmap.mmap(-1, 40_000_000) as held:
        for start in range(0, len(held), mmap.PAGESIZE):
            held[start] = 1
        assert 35_000_000 < resident_bytes() - before < 60_000_000


async def test_request_at_work_when_a_node_ends_is_logged():
    """Guards against a request that is cut at the end of a stop without a trace."""
    async with run_deployment("orders", "jobs") as deployment:
        first, entry = deployment.vms.values()

        async def serves():
            return (await entry.send_request("/orders/x", method=b"POST")).status == 200

        await deployment.wait_until(serves)
        # Longer than the stop.
        first.target._work_s = 10.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.send_request, "/orders/x", None, b"POST")
            with trio.fail_after(3):
                while deployment.runs[-1].ended is not None:
                    await trio.sleep(0.01)
            first.stopping.set()
        with trio.fail_after(5):
            while not any(" event=stop " in lines for lines in first.lines):
                await trio.sleep(0.05)
        lines = "".join(first.lines).splitlines()
        cut = [line for line in lines if " event=run_cut " in line]
        assert len(cut) == 1 and "route=r-orders" in cut[0], lines
