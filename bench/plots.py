"""Plots unavailable time, control cost and goodput from the result files."""

import json

import matplotlib
from common import RESULTS

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

COST_LABELS = {
    "processor_percent": "processor, % of a core",
    "control_bytes_per_s": "to and from nodes, bytes/s",
    "log_bytes_per_s": "to and from the log, bytes/s",
    "memory_mb": "resident memory, MB",
}


def plot_unavailable():
    """Plot the unavailable time of each run of each fault, and the limit."""
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


def plot_control():
    """Plot the cost per node over the number of nodes."""
    rows = json.loads((RESULTS / "control.json").read_text())["nodes"]
    rows = [row for row in rows if "failed" not in row]
    figure, all_axes = plt.subplots(1, len(COST_LABELS), figsize=(14, 3.5))
    for axes, (name, label) in zip(all_axes, COST_LABELS.items()):
        axes.plot([row["nodes"] for row in rows], [row[name] for row in rows], "o-")
        axes.set_xscale("log", base=3)
        axes.set_xlabel("nodes")
        axes.set_ylabel(f"{label}, per node")
        axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(RESULTS / "control.png", dpi=100)
    plt.close(figure)


def plot_goodput():
    """Plot offered requests and requests completed in time over the load."""
    rows = json.loads((RESULTS / "goodput.json").read_text())["rows"]
    figure, axes = plt.subplots(figsize=(6, 4))
    for name in ("offered_per_s", "goodput_per_s"):
        axes.plot([row["load"] for row in rows], [row[name] for row in rows], "o-")
    axes.legend(["offered", "completed in time"])
    axes.set_xlabel("offered load, share of capacity")
    axes.set_ylabel("requests/s")
    axes.set_ylim(bottom=0)
    figure.savefig(RESULTS / "goodput.png", dpi=100)
    plt.close(figure)


if __name__ == "__main__":
    if list(RESULTS.glob("unavailable-*.json")):
        plot_unavailable()
    if (RESULTS / "control.json").exists():
        plot_control()
    if (RESULTS / "goodput.json").exists():
        plot_goodput()
