"""Plots of unavailable time and control cost from the raw figures."""

import json

import matplotlib
from common import RESULTS

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

COSTS = {
    "processor_percent": "processor, % of a core",
    "control_bytes_per_s": "to and from nodes, bytes/s",
    "log_bytes_per_s": "to and from the log, bytes/s",
    "memory_mb": "resident memory, MB",
}


def unavailable():
    """Plot each run of each fault, and the limit."""
    results = [json.loads(p.read_text()) for p in RESULTS.glob("unavailable-*.json")]
    figure, axes = plt.subplots(figsize=(8, 4))
    for number, result in enumerate(sorted(results, key=lambda r: r["fault"])):
        times = result["unavailable_s"]
        axes.plot([number] * len(times), times, "o", alpha=0.5, label=result["fault"])
    axes.axhline(2.0, linestyle="--", color="black", label="target of 2 s")
    axes.set_ylabel("longest unavailable time of a key, s")
    axes.set_xticks([])
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(RESULTS / "unavailable.png", dpi=100)
    plt.close(figure)


def control():
    """Plot the cost of each node over the number of nodes."""
    rows = json.loads((RESULTS / "control.json").read_text())["nodes"]
    figure, all_axes = plt.subplots(1, len(COSTS), figsize=(14, 3.5))
    for axes, (name, label) in zip(all_axes, COSTS.items()):
        axes.plot([row["nodes"] for row in rows], [row[name] for row in rows], "o-")
        axes.set_xscale("log", base=3)
        axes.set_xlabel("nodes")
        axes.set_ylabel(f"{label}, per node")
        axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(RESULTS / "control.png", dpi=100)
    plt.close(figure)


if __name__ == "__main__":
    if list(RESULTS.glob("unavailable-*.json")):
        unavailable()
    if (RESULTS / "control.json").exists():
        control()
