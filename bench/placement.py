"""Compares the planner with static hashing and greedy rebalance.

Run ``python bench/placement.py``; raw figures and a plot go to ``bench/results/``.
"""

import argparse
import subprocess
import sys
from multiprocessing import Pool
from pathlib import Path

import matplotlib
import msgspec
from placement_load import DEPLOYMENTS, SCENARIOS
from placement_runs import POLICIES, run_simulation

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

DEFAULT_SEED = 20261204
DEFAULT_DURATION_S = 300
PROCESSES = 3
RESULTS = Path(__file__).parent / "results"
MARKERS = {"planner": "o", "greedy rebalance": "^", "static hashing": "s"}
PRINTED_METRICS = (
    "imbalance_mean",
    "imbalance_p95",
    "overload_mean",
    "single_key_bound",
    "churn",
    "moves",
    "unavailable_key_seconds",
    "waiting_request_seconds",
)


def run_case(case):
    """Run one case; a module-level function because the pool pickles it by name."""
    deployment, scenario, policy, seed, duration_s = case
    metrics = run_simulation(
        policy, DEPLOYMENTS[deployment], SCENARIOS[scenario], seed, duration_s
    )
    labels = {"deployment": deployment, "scenario": scenario, "policy": policy}
    return labels | {"seed": seed} | metrics


def plot(rows, path):
    """Plot mean imbalance over churn, with one panel per deployment."""
    names = list(dict.fromkeys(row["deployment"] for row in rows))
    figure, panels = plt.subplots(1, len(names), figsize=(4.2 * len(names), 4))
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    colours = dict(zip(scenarios, plt.cm.tab10.colors))
    for panel, name in zip([panels] if len(names) == 1 else panels, names):
        for row in rows:
            if row["deployment"] == name:
                panel.scatter(
                    row["churn"],
                    row["imbalance_mean"],
                    marker=MARKERS[row["policy"]],
                    color=colours[row["scenario"]],
                    label=f"{row['policy']}, {row['scenario']}",
                )
        panel.set_title(name)
        panel.set_xlabel("churn (share of keys moved)")
        panel.set_xscale("symlog", linthresh=0.1)
    handles = {}
    first_panel = panels if len(names) == 1 else panels[0]
    first_panel.set_ylabel("imbalance (max over mean)")
    for handle, label in zip(*first_panel.get_legend_handles_labels()):
        handles.setdefault(label, handle)
    figure.legend(
        handles.values(), handles, loc="lower center", ncol=3, fontsize="x-small"
    )
    figure.subplots_adjust(bottom=0.36, left=0.05, right=0.98, wspace=0.25)
    figure.savefig(path, dpi=110)


def main():
    """Run the selected cases and write the result file and the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--duration-s", type=int, default=DEFAULT_DURATION_S)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, action="append")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    parser.add_argument("--policy", choices=POLICIES, action="append")
    parser.add_argument("--name", default="placement", help="name of the result files")
    options = parser.parse_args()
    cases = [
        (deployment, scenario, policy, options.seed, options.duration_s)
        for deployment in options.deployment or DEPLOYMENTS
        for scenario in options.scenario or SCENARIOS
        for policy in options.policy or POLICIES
    ]
    commit = subprocess.check_output(["git", "rev-parse", "--short", "HEAD"], text=True)
    dirty = subprocess.check_output(["git", "status", "--porcelain", "packages"])
    with Pool(PROCESSES) as pool:
        rows = pool.map(run_case, cases, chunksize=1)
    for row in rows:
        summary = " ".join(f"{name}={row[name]}" for name in PRINTED_METRICS)
        print(f"{row['deployment']}/{row['scenario']}/{row['policy']}: {summary}")
    result = {
        "command": "python bench/" + " ".join([Path(sys.argv[0]).name, *sys.argv[1:]]),
        "commit": commit.strip() + ("+changes" if dirty else ""),
        "seed": options.seed,
        "duration_s": options.duration_s,
        "rows": rows,
    }
    RESULTS.mkdir(exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(result), indent=1)
    (RESULTS / f"{options.name}.json").write_bytes(data + b"\n")
    plot(rows, RESULTS / f"{options.name}.png")


if __name__ == "__main__":
    main()
