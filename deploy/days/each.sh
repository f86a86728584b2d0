#!/usr/bin/env bash
# Runs a day for every kind of planned change and fault alone, or days on which several of them overlap:
#   deploy/days/each.sh alone|pairs FLEETBENCH SITE...
# Prints one line for each day, and keeps the output of the days that broke a rule or failed to run.
set -euo pipefail
mode=$1 fleetbench=$2
shift 2
cd "$(dirname "$0")/../.."
out_dir=$(mktemp -d)
faults=(
  'kind = "burst", x = 2.0' 'kind = "shift", share = 0.6, zone = "@z0", to_zone = "@z1"' 'kind = "hot_key", share = 0.5'
  'kind = "retry_abuse", share = 0.3, x = 4.0' 'kind = "give_up", share = 0.3' 'kind = "srv_crash", service = "@s0"'
  'kind = "srv_crash", service = "@s0", how = "dark"' 'kind = "srv_crash", service = "@s1", how = "gone"'
  'kind = "srv_crash", service = "@s0", how = "joined"' 'kind = "srv_slow", service = "@s0"'
  'kind = "srv_grey", service = "@s1", how = "errors"' 'kind = "srv_grey", service = "@s1", how = "shed"'
  'kind = "srv_grey", service = "@s1", how = "hang"' 'kind = "srv_grey", service = "@s1", how = "reset"'
  'kind = "srv_grey", service = "@s1", how = "mute"' 'kind = "srv_grey", service = "@s1", how = "slow"'
  'kind = "answer_lost", x = 0.05' 'kind = "garble", x = 0.05' 'kind = "garble", x = 0.05, how = "extra"'
  'kind = "garble", x = 0.05, how = "early"' 'kind = "node_kill", share = 0.3' 'kind = "node_kill", share = 0.3, how = "power"'
  'kind = "node_freeze", share = 0.3' 'kind = "node_freeze", how = "renewed"' 'kind = "node_slow", share = 0.3'
  'kind = "herd_kill"' 'kind = "clock_step", share = 0.5' 'kind = "clock_step", share = 0.5, how = "back"'
  'kind = "zone_cut", zone = "@z0"' 'kind = "node_cut", share = 0.3' 'kind = "node_cut", share = 0.3, how = "servers"'
  'kind = "lossy", zone = "@z0"' 'kind = "platform_down"' 'kind = "platform_down", how = "nodes"' 'kind = "platform_slow"'
  'kind = "platform_lost"' 'kind = "platform_lost", how = "late"' 'kind = "platform_compact"'
  'kind = "applied_late", x = 0.5, how = "orders"' 'kind = "applied_late", x = 0.5, how = "all"' 'kind = "kv_slow", share = 0.5'
  'kind = "srv_cut", share = 0.2' 'kind = "reset_conns", share = 0.3, x = 0.5'
)
plans=(
  'kind = "release", share = 0.5' 'kind = "scale_out"' 'kind = "scale_in"' 'kind = "scale_in", how = "spot"' 'kind = "roll_term"'
  'kind = "roll_term", how = "leader"' 'kind = "add_nodes"' 'kind = "replace_core"' 'kind = "config_change", how = "route"'
  'kind = "config_change", how = "quota"' 'kind = "config_change", how = "weights"' 'kind = "revoke"' 'kind = "hup", share = 0.5'
  'kind = "replace_with_reuse"'
)
# write_day NAME PLAN FAULT writes a day of 24 s. An empty PLAN or FAULT is left out. The fault begins during the
# planned change.
write_day() {
  local plan=${2:-} fault=${3:-}
  if [ -n "$plan" ]; then plan="{ at = 5.0, for_s = 6.0, $plan }"; fi
  if [ -n "$fault" ]; then fault="{ at = 7.0, for_s = 6.0, $fault }"; fi
  printf 'name = "%s"\nlength_s = 24.0\nplan = [%s]\nfaults = [%s]\n' "$1" "$plan" "$fault" >"$out_dir/$1.toml"
}
if [ "$mode" = alone ]; then
  for i in "${!faults[@]}"; do write_day "fault-$i" '' "${faults[i]}"; done
  for i in "${!plans[@]}"; do write_day "plan-$i" "${plans[i]}" ''; done
else
  for i in "${!faults[@]}"; do
    write_day "pair-$i" "${plans[i % ${#plans[@]}]}" "${faults[i]}"
    second_fault=${faults[(i + 7) % ${#faults[@]}]}
    sed "s|^faults = \[\(.*\)\]|faults = [\1, { at = 10.0, for_s = 6.0, $second_fault }]|" "$out_dir/pair-$i.toml" \
      >"$out_dir/three-$i.toml"
  done
fi
failed_runs=0
for site in "$@"; do
  for file in "$out_dir"/*.toml; do
    log=$out_dir/$(basename "$site" .toml)-$(basename "$file" .toml).txt
    if ! "$fleetbench" run "$site" "$file" >"$log" 2>&1 ||
      grep -qE 'BROKEN|rules broken|^fleetbench:|; [1-9][0-9]* exits of its own' "$log"; then
      failed_runs=$((failed_runs + 1))
      printf 'RED  %s\n     %s\n' "$log" "$(grep -hE '^(plan|faults)' "$file" | tr '\n' ' ')"
      continue
    fi
    printf 'ok   %s %s\n' "$(basename "$site" .toml)" "$(grep -E '^[a-z0-9-]+ +[0-9]+/' "$log" | head -1 | cut -c1-60)"
    rm "$log"
  done
done
exit $((failed_runs > 0))
