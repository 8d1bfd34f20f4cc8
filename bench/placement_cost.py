"""CPU and memory of a planner by targets and shards, and bytes of its messages.

Run ``python bench/placement_cost.py``; raw figures go to ``bench/results/``.
"""

import subprocess
import sys
import time
from pathlib import Path

import msgspec
import numpy as np

from jujuberudder._placement import plan
from jujuberudder._placement_state import PlacementState, report_interval
from jujuberudder_core import Ownership, records, uniform_prefixes
from jujuberudder_peers import Report, Summary
from jujuberudder_peers._messages import decode_message, encode_message

SEED = 11
SIZES = ((3, 32), (30, 512), (300, 4096), (1500, 16384), (1500, 65536))
ROUNDS = 20
PLANS_PER_S = 2
# Shards that a target lists in a steady report, and of which the rate changed.
LISTED = 2
RESULTS = Path(__file__).parent / "results"
SECTION = {
    "service": "jobs",
    "drain": [],
    "slots": 20,
    "initial_shard_bits": 5,
    "placement_weights": {"unavailable_time": 1.0, "churn": 1.0, "imbalance": 1.0},
}


def resident_bytes():
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def make(targets, shards):
    """Return a fold with live targets and evenly spread shards."""
    ownership = Ownership()
    names = [f"{number:016x}" for number in range(targets)]
    for offset, name in enumerate(names, 1):
        zone = f"z{offset % 10}"
        admit = records.Admit("r", name, name, "jobs", zone, "", "", "")
        ownership.apply(offset, admit)
    prefixes = uniform_prefixes(shards.bit_length() - 1)
    entries = tuple(
        records.ShardOwner("jobs", prefix, 0, names[n % targets])
        for n, prefix in enumerate(prefixes)
    )
    ownership.apply(targets + 1, records.Assign("a", "p", entries))
    return ownership, names


def reports(ownership, names, rng, listed, now):
    """Return the encoded reports of one second."""
    made = []
    for name in names:
        owned = sorted(prefix for _, prefix in ownership.owned(name))
        rates = [(p, int(rng.integers(950, 1050))) for p in owned[:listed]]
        keys = [(int(rng.integers(2**63)), 100) for _ in range(8)]
        report = Report("lango", "jobs", name, ownership.offset, 9, 9, rates, keys)
        made.append(encode_message(report))
    return made


def measure(targets, shards):
    """Return the figures of one size."""
    ownership, names = make(targets, shards)
    rng = np.random.default_rng(SEED)
    before = resident_bytes()
    board = PlacementState("jobs", ownership)
    for data in reports(ownership, names, rng, 10**6, 0.0):
        board.add_report(decode_message(data, "x").ok_value, 0.0)
    memory = resident_bytes() - before
    plan(board, ownership, SECTION, 0.0)
    board.clear_changed()
    take_s = plan_s = idle_s = 0.0
    sizes = []
    interval = report_interval(targets)
    for second in range(1, ROUNDS + 1):
        part = names[second % int(interval) :: int(interval)]
        made = reports(ownership, part, rng, LISTED, float(second))
        sizes += map(len, made)
        started = time.process_time()
        for data in made:
            board.add_report(decode_message(data, "x").ok_value, float(second))
            answer = encode_message(Summary(board.summary()))
        take_s += time.process_time() - started
        started = time.process_time()
        plan(board, ownership, SECTION, float(second))
        plan_s += time.process_time() - started
        board.clear_changed()
        started = time.process_time()
        plan(board, ownership, SECTION, float(second))
        idle_s += time.process_time() - started
        board.clear_changed()
    return {
        "targets": targets,
        "shards": shards,
        "board_bytes": memory,
        "reports_core_share": round(take_s / ROUNDS, 5),
        "plan_ms_all_changed": round(plan_s / ROUNDS * 1000, 3),
        "plan_ms_none_changed": round(idle_s / ROUNDS * 1000, 3),
        "planner_core_share": round((take_s + plan_s + idle_s) / ROUNDS, 5),
        "report_bytes": round(float(np.mean(sizes))),
        "summary_bytes": len(answer),
    }


def main():
    """Measure each size in a process of its own and write the figures."""
    if len(sys.argv) == 3:
        print(msgspec.json.encode(measure(*map(int, sys.argv[1:]))).decode())
        return
    rows = [
        msgspec.json.decode(
            subprocess.check_output([sys.executable, __file__, str(t), str(s)])
        )
        for t, s in SIZES
    ]
    commit = subprocess.check_output(["git", "rev-parse", "--short", "HEAD"], text=True)
    figures = {
        "command": "python bench/placement_cost.py",
        "commit": commit.strip(),
        "seed": SEED,
        "plans_per_s": PLANS_PER_S,
        "rows": rows,
    }
    RESULTS.mkdir(exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(figures), indent=1)
    (RESULTS / "placement-cost.json").write_bytes(data + b"\n")
    for row in rows:
        print(row)


if __name__ == "__main__":
    main()
