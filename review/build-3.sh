#!/bin/sh
# Builds the stand-ins of review/11 to review/15. They are Python files that need the
# standard library only, and the nodes come from the build of the deploy file: so this
# checks that both are there and can be compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -B - <<'EOF'
import pathlib

files = ["review/lib-3/standins.py"]
files += [f"review/{number}/case.py" for number in range(11, 16)]
for name in files:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
EOF
test -f target/deps/jujuberudder_run.py || {
  echo "build-3: build the deploy file first" >&2
  exit 1
}
