#!/usr/bin/env bash
# Starts an example deployment as separate processes and publishes its sections.
# Usage: examples/run.sh lango|casa-pluma [FOLDER FOR LOGS]
set -eu
cd "$(dirname "$0")/$1"
bin=$(cd ../.. && pwd)/.venv/bin
logs=${2:-$(mktemp -d)}
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait' EXIT
trap 'exit 0' INT TERM

start() { # NAME COMMAND...
  local name=$1; shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  echo "$! $name" >>"$logs/pids"
}

first=$(echo *.yaml | cut -d' ' -f1)
log_address=$(sed -n 's/^log_address: //p' "$first")
operator=$(sed -n 's/^operator_address: //p' "$first")
deployment=$(sed -n 's/^deployment: //p' "$first")
start logservice "$bin/python" -m jujuberudder_standins.logservice --address "$log_address"
for settings in *.yaml; do
  name=${settings%.yaml}
  address=$(sed -n 's/^  address: //p' "$settings")
  start "target-$name" "$bin/python" -m jujuberudder_standins.target "$name" --address "$address"
done
until "$bin/jujuberudderctl" show --log-address "$log_address" --deployment "$deployment" >/dev/null 2>&1; do
  sleep 0.2
done
for section in sections/*.yaml; do
  "$bin/jujuberudderctl" publish "$section" --log-address "$log_address" --deployment "$deployment"
done
for settings in *.yaml; do
  start "${settings%.yaml}" "$bin/jujuberudder" "$settings"
done
until "$bin/jujuberudderctl" status --node "$operator" 2>/dev/null | grep -c held | grep -qx "$(ls *.yaml | wc -l)"; do
  sleep 0.5
done
"$bin/jujuberudderctl" status --node "$operator"
echo "logs are in $logs; requests go to $(sed -n 's/^client_address: //p' "$first"); Ctrl-C ends all"
wait
