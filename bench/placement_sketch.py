"""Compares bounded counters of hot keys: memory, time per update and hits.

Run ``python bench/placement_sketch.py``; raw figures go to ``bench/results/``.
"""

import random
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec
import numpy as np
import xxhash
from datasketches import frequent_items_error_type, frequent_strings_sketch

SEED = 7
UPDATES = 200_000
KEYS = 1_000_000
ZIPF_EXPONENTS = (0.9, 1.1)
TOP = 8
LG_SLOTS = (6, 8)
SKETCHES = 400
UPDATES_EACH = 2000
RESULTS = Path(__file__).parent / "results"


def sketch_update(state, key):
    """Count a key in a frequent-items sketch."""
    state.update(key)


def sketch_top(state):
    """Return the hottest keys of a sketch."""
    kind = frequent_items_error_type.NO_FALSE_NEGATIVES
    rows = state.get_frequent_items(kind)
    return [row[0] for row in sorted(rows, key=lambda row: -row[1])[:TOP]]


def counter_update(state, key):
    """Count a key in a dictionary bounded as Misra and Gries describe."""
    if key in state or len(state) < state.slots:
        state[key] = state.get(key, 0) + 1
        return
    for other in list(state):
        state[other] -= 1
        if not state[other]:
            del state[other]


def counter_top(state):
    """Return the hottest keys of a bounded dictionary."""
    return sorted(state, key=state.get, reverse=True)[:TOP]


class BoundedDictionary(dict):
    """A dictionary that knows how many keys it may hold."""

    def __init__(self, lg_slots):
        super().__init__()
        self.slots = 2**lg_slots * 3 // 4


OPTIONS = {
    "datasketches": (frequent_strings_sketch, sketch_update, sketch_top),
    "bounded dictionary": (BoundedDictionary, counter_update, counter_top),
}


def zipf_keys(exponent):
    """Return hashes of keys drawn from a Zipf distribution, hottest first rank 0."""
    weights = 1 / np.arange(1, KEYS + 1) ** exponent
    rng = np.random.default_rng(SEED)
    ranks = rng.choice(KEYS, UPDATES, p=weights / weights.sum())
    return [xxhash.xxh3_64_hexdigest(str(rank).encode()) for rank in ranks]


def resident_bytes():
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def memory_of(option, lg_slots):
    """Return the resident bytes of one full instance, over many instances."""
    make, update, _ = OPTIONS[option]
    before = resident_bytes()
    instances = [make(lg_slots) for _ in range(SKETCHES)]
    for number, instance in enumerate(instances):
        for key in range(UPDATES_EACH):
            update(instance, xxhash.xxh3_64_hexdigest(b"%d-%d" % (number, key % 1500)))
    return (resident_bytes() - before) / SKETCHES


def measure(option, exponent, lg_slots):
    """Return the figures of one option."""
    make, update, top = OPTIONS[option]
    memory = memory_of(option, lg_slots)
    keys = zipf_keys(exponent)
    state = make(lg_slots)
    started = time.perf_counter()
    for key in keys:
        update(state, key)
    spent = time.perf_counter() - started
    true = {key for key, _ in Counter(keys).most_common(TOP)}
    return {
        "option": option,
        "slots": 2**lg_slots,
        "zipf_exponent": exponent,
        "hits_of_top": len(true & set(top(state))),
        "top": TOP,
        "microseconds_per_update": round(spent / UPDATES * 1e6, 3),
        "bytes_per_instance": round(memory),
    }


IMPORT_COST = """
from pathlib import Path
import jujuberudder
def resident():
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096
before = resident()
import datasketches
print(resident() - before)
"""


def main():
    """Measure each option in a process of its own and write the figures."""
    if len(sys.argv) == 4:
        figures = measure(sys.argv[1], float(sys.argv[2]), int(sys.argv[3]))
        print(msgspec.json.encode(figures).decode())
        return
    cases = [(o, s, lg) for o in OPTIONS for s in ZIPF_EXPONENTS for lg in LG_SLOTS]
    random.Random(SEED).shuffle(cases)
    rows = [
        msgspec.json.decode(
            subprocess.check_output([sys.executable, __file__, *map(str, case)])
        )
        for case in cases
    ]
    commit = subprocess.check_output(["git", "rev-parse", "--short", "HEAD"], text=True)
    figures = {
        "command": "python bench/placement_sketch.py",
        "commit": commit.strip(),
        "seed": SEED,
        "import_datasketches_bytes_in_a_node": int(
            subprocess.check_output([sys.executable, "-c", IMPORT_COST])
        ),
        "rows": sorted(rows, key=lambda r: tuple(r.values())[:3]),
    }
    RESULTS.mkdir(exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(figures), indent=1)
    (RESULTS / "placement-sketch.json").write_bytes(data + b"\n")
    print(msgspec.json.encode(figures).decode())


if __name__ == "__main__":
    main()
