#!/usr/bin/env bash
# Starts the processes of an example deployment and publishes its sections.
# Usage: examples/run.sh lango|casa-pluma [LOG_FOLDER]
set -eu
cd "$(dirname "$0")/$1"
bin_folder=$(cd ../.. && pwd)/.venv/bin
log_folder=${2:-$(mktemp -d)}
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait' EXIT
trap 'exit 0' INT TERM

start_process() { # NAME COMMAND...
  local name=$1; shift
  "$@" >"$log_folder/$name.log" 2>&1 &
  pids+=($!)
  echo "$! $name" >>"$log_folder/pids"
}

first_settings=$(echo *.yaml | cut -d' ' -f1)
log_address=$(sed -n 's/^log_address: //p' "$first_settings")
operator_address=$(sed -n 's/^operator_address: //p' "$first_settings")
deployment=$(sed -n 's/^deployment: //p' "$first_settings")
start_process logservice "$bin_folder/python" -m jujuberudder_standins.logservice --address "$log_address"
for settings in *.yaml; do
  name=${settings%.yaml}
  target_address=$(sed -n 's/^  address: //p' "$settings")
  start_process "target-$name" "$bin_folder/python" -m jujuberudder_standins.target "$name" --address "$target_address"
done
# Wait until the log service responds.
until "$bin_folder/jujuberudderctl" show --log-address "$log_address" --deployment "$deployment" >/dev/null 2>&1; do
  sleep 0.2
done
for section in sections/*.yaml; do
  "$bin_folder/jujuberudderctl" publish "$section" --log-address "$log_address" --deployment "$deployment"
done
for settings in *.yaml; do
  start_process "${settings%.yaml}" "$bin_folder/jujuberudder" "$settings"
done
# Wait until every node holds its lease.
until "$bin_folder/jujuberudderctl" status --node "$operator_address" 2>/dev/null | grep -c held | grep -qx "$(ls *.yaml | wc -l)"; do
  sleep 0.5
done
"$bin_folder/jujuberudderctl" status --node "$operator_address"
echo "logs are in $log_folder; requests go to $(sed -n 's/^client_address: //p' "$first_settings"); Ctrl-C stops all processes"
wait
