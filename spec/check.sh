#!/usr/bin/env bash
# Checks the specifications exhaustively, and that the check finds an error in each mutant.
set -euo pipefail
cd "$(dirname "$0")"
spec_dir=$PWD
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT

max_processor_seconds=120 # of one check; a bound on the time that passes would depend on what else the machine does

# verify SPEC [-DNAME ...] checks a specification with Spin and sets errors and states to the reported counts.
verify() {
  local spec=$1
  shift
  (cd "$work_dir" && rm -f pan* && spin -a "$@" "$spec_dir/$spec" >spin.log 2>&1 &&
    gcc -O2 -DSAFETY -DMEMLIM=6000 -DCOLLAPSE -o pan pan.c 2>gcc.log &&
    ulimit -t "$max_processor_seconds" && ./pan -m1000000 >pan.log 2>&1) || true
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work_dir/pan.log")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work_dir/pan.log" | head -1)
  if [ -z "$errors" ] || grep -q "max search depth too small\|out of memory\|aborted" "$work_dir/pan.log"; then
    echo "spec=$spec options='$*' verdict=incomplete"
    cat "$work_dir"/*.log | tail -20
    exit 1
  fi
}

# expect_pass SPEC [-DNAME ...] fails if the specification has errors.
expect_pass() {
  verify "$@"
  echo "spec=$1 options='${*:2}' errors=$errors states=$states"
  [ "$errors" = 0 ] || { tail -5 "$work_dir/pan.log"; exit 1; }
}

# expect_error SPEC -DNAME ... fails if the mutant has no error.
expect_error() {
  verify "$@"
  echo "spec=$1 mutant='${*:2}' errors=$errors states=$states"
  [ "$errors" != 0 ] || { echo "the mutant was not caught"; exit 1; }
}

expect_pass once.pml
expect_error once.pml -DM_UNKNOWN
expect_error once.pml -DM_ABSENT
expect_error once.pml -DM_UNDECIDED
expect_pass release.pml
expect_error release.pml -DM_NOASSERT
expect_error release.pml -DM_NOVERSION
expect_error release.pml -DM_ANYORDER
expect_pass lease.pml
expect_pass lease.pml -DCHECKS
expect_error lease.pml -DCHECKS -DM_NOFENCE
expect_error lease.pml -DM_ONCE
expect_error lease.pml -DM_NOWAIT
expect_error lease.pml -DM_TERMFROMANSWER
expect_pass place.pml
expect_error place.pml -DM_NOSEQ
expect_error place.pml -DM_NOEXPIRY
expect_error place.pml -DM_NOINCARNATION
expect_error place.pml -DM_NOREAD
expect_pass chain.pml
expect_error chain.pml -DM_ANYANSWER
expect_error chain.pml -DM_ANYEPOCH
expect_error chain.pml -DM_RESEND
