#!/bin/sh
# Installs the node's requirements and packages into target/deps and compiles them to
# byte code.
set -eu
deps=target/deps
if [ ! -f $deps/.requirements ] || ! cmp -s requirements-node.txt $deps/.requirements; then
  python3 -m pip install -q --disable-pip-version-check --no-compile --upgrade \
    --target $deps -r requirements-node.txt
  cp requirements-node.txt $deps/.requirements
fi
rm -rf $deps/jujuberudder_*
cp -R packages/base/src/jujuberudder_base packages/router/src/jujuberudder_router \
  platform/src/jujuberudder_platform platform/src/jujuberudder_run.py $deps/
python3 -m compileall -q $deps
