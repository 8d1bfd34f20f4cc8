"""Measures CPU time, memory and message sizes of a planner by targets and shards.

Run ``python bench/placement_cost.py``; results go to ``bench/results/``.
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
TARGET_AND_SHARD_COUNTS = (
    (3, 32),
    (30, 512),
    (300, 4096),
    (1500, 16384),
    (1500, 65536),
)
ROUNDS = 20
PLANS_PER_S = 2
# Shards that a target lists in a report at steady load because their rate changed.
LISTED_SHARDS = 2
RESULTS = Path(__file__).parent / "results"
SECTION = {
    "service": "jobs",
    "drain": [],
    "slots": 20,
    "initial_shard_bits": 5,
    "placement_weights": {"unavailable_time": 1.0, "churn": 1.0, "imbalance": 1.0},
}


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def make_ownership(targets, shards):
    """Return an ownership fold with evenly assigned shards, and the target names."""
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


def encode_reports(ownership, names, rng, listed_shards, now):
    """Return the encoded reports of one second, with up to ``listed_shards`` each."""
    messages = []
    for name in names:
        owned = sorted(prefix for _, prefix in ownership.owned(name))
        rates = [(p, int(rng.integers(950, 1050))) for p in owned[:listed_shards]]
        keys = [(int(rng.integers(2**63)), 100) for _ in range(8)]
        report = Report("lango", "jobs", name, ownership.offset, 9, 9, rates, keys)
        messages.append(encode_message(report))
    return messages


def measure(targets, shards):
    """Return the costs of a planner with a number of targets and of shards."""
    ownership, names = make_ownership(targets, shards)
    rng = np.random.default_rng(SEED)
    before_bytes = resident_bytes()
    placement_state = PlacementState("jobs", ownership)
    for data in encode_reports(ownership, names, rng, 10**6, 0.0):
        placement_state.add_report(decode_message(data, "x").ok_value, 0.0)
    state_bytes = resident_bytes() - before_bytes
    plan(placement_state, ownership, SECTION, 0.0)
    placement_state.clear_changed()
    report_time_s = plan_changed_s = plan_unchanged_s = 0.0
    report_sizes = []
    interval = report_interval(targets)
    for now_s in range(1, ROUNDS + 1):
        reporting = names[now_s % int(interval) :: int(interval)]
        messages = encode_reports(
            ownership, reporting, rng, LISTED_SHARDS, float(now_s)
        )
        report_sizes += map(len, messages)
        started = time.process_time()
        for data in messages:
            placement_state.add_report(decode_message(data, "x").ok_value, float(now_s))
            encoded_summary = encode_message(Summary(placement_state.summary()))
        report_time_s += time.process_time() - started
        started = time.process_time()
        plan(placement_state, ownership, SECTION, float(now_s))
        plan_changed_s += time.process_time() - started
        placement_state.clear_changed()
        started = time.process_time()
        plan(placement_state, ownership, SECTION, float(now_s))
        plan_unchanged_s += time.process_time() - started
        placement_state.clear_changed()
    return {
        "targets": targets,
        "shards": shards,
        "board_bytes": state_bytes,
        "reports_core_share": round(report_time_s / ROUNDS, 5),
        "plan_ms_all_changed": round(plan_changed_s / ROUNDS * 1000, 3),
        "plan_ms_none_changed": round(plan_unchanged_s / ROUNDS * 1000, 3),
        "planner_core_share": round(
            (report_time_s + plan_changed_s + plan_unchanged_s) / ROUNDS, 5
        ),
        "report_bytes": round(float(np.mean(report_sizes))),
        "summary_bytes": len(encoded_summary),
    }


def main():
    """Measure each size in a separate process and write the results."""
    if len(sys.argv) == 3:
        print(msgspec.json.encode(measure(*map(int, sys.argv[1:]))).decode())
        return
    rows = [
        msgspec.json.decode(
            subprocess.check_output([sys.executable, __file__, str(t), str(s)])
        )
        for t, s in TARGET_AND_SHARD_COUNTS
    ]
    commit = subprocess.check_output(["git", "rev-parse", "--short", "HEAD"], text=True)
    result = {
        "command": "python bench/placement_cost.py",
        "commit": commit.strip(),
        "seed": SEED,
        "plans_per_s": PLANS_PER_S,
        "rows": rows,
    }
    RESULTS.mkdir(exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(result), indent=1)
    (RESULTS / "placement-cost.json").write_bytes(data + b"\n")
    for row in rows:
        print(row)


if __name__ == "__main__":
    main()
