#!/usr/bin/env bash
# Checks the specifications exhaustively, and that each mutant is caught.
set -euo pipefail
cd "$(dirname "$0")"
here=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify SPEC [-DNAME ...]: prints Spin's count of errors and states.
verify() {
  local spec=$1
  shift
  (cd "$work" && rm -f pan* && spin -a "$@" "$here/$spec" >spin.log 2>&1 &&
    gcc -O2 -DSAFETY -DMEMLIM=6000 -DCOLLAPSE -o pan pan.c 2>gcc.log && timeout 120 ./pan -m1000000 >pan.log 2>&1) || true
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.log")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.log" | head -1)
  if [ -z "$errors" ] || grep -q "max search depth too small\|out of memory\|aborted" "$work/pan.log"; then
    echo "spec=$spec options='$*' verdict=incomplete"
    cat "$work"/*.log | tail -20
    exit 1
  fi
}

holds() {
  verify "$@"
  echo "spec=$1 options='${*:2}' errors=$errors states=$states"
  [ "$errors" = 0 ] || { tail -5 "$work/pan.log"; exit 1; }
}

fails() {
  verify "$@"
  echo "spec=$1 mutant='${*:2}' errors=$errors states=$states"
  [ "$errors" != 0 ] || { echo "the mutant was not caught"; exit 1; }
}

holds once.pml
fails once.pml -DM_UNKNOWN
fails once.pml -DM_ABSENT
fails once.pml -DM_UNDECIDED
holds release.pml
fails release.pml -DM_NOASSERT
fails release.pml -DM_NOVERSION
fails release.pml -DM_ANYORDER
holds lease.pml
holds lease.pml -DCHECKS
fails lease.pml -DCHECKS -DM_NOFENCE
fails lease.pml -DM_ONCE
fails lease.pml -DM_NOWAIT
fails lease.pml -DM_LATEMARK
holds place.pml
fails place.pml -DM_NOSEQ
fails place.pml -DM_TRUST
fails place.pml -DM_NOBORN
fails place.pml -DM_NOREAD
holds chain.pml
fails chain.pml -DM_ANYANSWER
fails chain.pml -DM_ANYEPOCH
fails chain.pml -DM_RESEND
