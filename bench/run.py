"""Runs the benchmarks that need node processes sequentially.

``--quick`` takes under 3 minutes and writes the results to a temporary folder.
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

FULL_BENCHMARKS = (
    ("unavailable.py", "20"),
    ("latency.py",),
    ("control.py",),
    ("publish.py",),
    ("plots.py",),
)
QUICK_BENCHMARKS = (
    ("unavailable.py", "2", "kill -9", "freeze"),
    ("latency.py", "--quick"),
    ("control.py", "--quick"),
    ("publish.py", "--quick"),
    ("plots.py",),
)


def main():
    """Run all benchmarks and stop at the first that fails."""
    quick = "--quick" in sys.argv
    environment = dict(os.environ)
    if quick:
        environment["BENCH_RESULTS"] = tempfile.mkdtemp(prefix="jujuberudder-bench-")
        print(f"results go to {environment['BENCH_RESULTS']}", flush=True)
    for script, *args in QUICK_BENCHMARKS if quick else FULL_BENCHMARKS:
        command = [sys.executable, script, *args]
        folder = Path(__file__).parent
        subprocess.run(command, cwd=folder, env=environment, check=True)


if __name__ == "__main__":
    main()
