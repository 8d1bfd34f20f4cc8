"""Compares bounded counters of hot keys by memory, update time and accuracy.

Run ``python bench/placement_sketch.py``; results go to ``bench/results/``.
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
TOP_KEYS = 8
LOG2_SLOTS = (6, 8)
MEMORY_INSTANCES = 400
UPDATES_PER_INSTANCE = 2000
RESULTS = Path(__file__).parent / "results"


def update_sketch(counter, key):
    """Count a key in a frequent-items sketch."""
    counter.update(key)


def top_keys_of_sketch(counter):
    """Return the hottest keys of a frequent-items sketch."""
    error_type = frequent_items_error_type.NO_FALSE_NEGATIVES
    rows = counter.get_frequent_items(error_type)
    return [row[0] for row in sorted(rows, key=lambda row: -row[1])[:TOP_KEYS]]


def update_dictionary(counter, key):
    """Count a key in a bounded dictionary by the Misra-Gries algorithm."""
    if key in counter or len(counter) < counter.slots:
        counter[key] = counter.get(key, 0) + 1
        return
    for existing_key in list(counter):
        counter[existing_key] -= 1
        if not counter[existing_key]:
            del counter[existing_key]


def top_keys_of_dictionary(counter):
    """Return the hottest keys of a bounded dictionary."""
    return sorted(counter, key=counter.get, reverse=True)[:TOP_KEYS]


class BoundedDictionary(dict):
    """A dictionary with ``slots``, the maximum number of keys it may hold."""

    def __init__(self, log2_slots):
        super().__init__()
        self.slots = 2**log2_slots * 3 // 4


OPTIONS = {
    "datasketches": (frequent_strings_sketch, update_sketch, top_keys_of_sketch),
    "bounded dictionary": (
        BoundedDictionary,
        update_dictionary,
        top_keys_of_dictionary,
    ),
}


def zipf_keys(exponent):
    """Return hashes of keys drawn from a Zipf distribution; rank 0 is the hottest."""
    weights = 1 / np.arange(1, KEYS + 1) ** exponent
    rng = np.random.default_rng(SEED)
    ranks = rng.choice(KEYS, UPDATES, p=weights / weights.sum())
    return [xxhash.xxh3_64_hexdigest(str(rank).encode()) for rank in ranks]


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def bytes_per_instance(option, log2_slots):
    """Return the resident bytes per full counter, as the mean of many instances."""
    make_counter, update_counter, _ = OPTIONS[option]
    before_bytes = resident_bytes()
    instances = [make_counter(log2_slots) for _ in range(MEMORY_INSTANCES)]
    for number, instance in enumerate(instances):
        for key in range(UPDATES_PER_INSTANCE):
            update_counter(
                instance, xxhash.xxh3_64_hexdigest(b"%d-%d" % (number, key % 1500))
            )
    return (resident_bytes() - before_bytes) / MEMORY_INSTANCES


def measure(option, exponent, log2_slots):
    """Return the metrics of one counter at one Zipf exponent and size."""
    make_counter, update_counter, top_keys = OPTIONS[option]
    instance_bytes = bytes_per_instance(option, log2_slots)
    keys = zipf_keys(exponent)
    counter = make_counter(log2_slots)
    started = time.perf_counter()
    for key in keys:
        update_counter(counter, key)
    elapsed_s = time.perf_counter() - started
    true_top_keys = {key for key, _ in Counter(keys).most_common(TOP_KEYS)}
    return {
        "option": option,
        "slots": 2**log2_slots,
        "zipf_exponent": exponent,
        "hits_of_top": len(true_top_keys & set(top_keys(counter))),
        "top": TOP_KEYS,
        "microseconds_per_update": round(elapsed_s / UPDATES * 1e6, 3),
        "bytes_per_instance": round(instance_bytes),
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
    """Measure each option in a separate process and write the results."""
    if len(sys.argv) == 4:
        result = measure(sys.argv[1], float(sys.argv[2]), int(sys.argv[3]))
        print(msgspec.json.encode(result).decode())
        return
    cases = [
        (option, exponent, log2_slots)
        for option in OPTIONS
        for exponent in ZIPF_EXPONENTS
        for log2_slots in LOG2_SLOTS
    ]
    random.Random(SEED).shuffle(cases)
    rows = [
        msgspec.json.decode(
            subprocess.check_output([sys.executable, __file__, *map(str, case)])
        )
        for case in cases
    ]
    commit = subprocess.check_output(["git", "rev-parse", "--short", "HEAD"], text=True)
    result = {
        "command": "python bench/placement_sketch.py",
        "commit": commit.strip(),
        "seed": SEED,
        "import_datasketches_bytes_in_a_node": int(
            subprocess.check_output([sys.executable, "-c", IMPORT_COST])
        ),
        "rows": sorted(rows, key=lambda r: tuple(r.values())[:3]),
    }
    RESULTS.mkdir(exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(result), indent=1)
    (RESULTS / "placement-sketch.json").write_bytes(data + b"\n")
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
