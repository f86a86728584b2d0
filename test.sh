#!/usr/bin/env bash
# Runs the project's checks: formatting, vet, the linter, the Spin specifications, and the tests with fixed seeds. The
# tests run with the race detector, except the cases of hundreds of nodes and io/trial, which runs in short mode as well.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd core io platform)
if [ -n "$unformatted" ]; then
  printf 'gofmt would change:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool revive -config revive.toml -exclude 'io/peer/wire/*.pb.go' -exclude 'io/mesh/wire/*.pb.go' ./...
spec/check.sh
# Tests that fail because of a known fault are skipped by name and printed; KNOWN-RED.txt describes them.
skip=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$skip" ]; then
  printf 'known red, not run here:\n'
  sed -n 's/^test: /  /p' KNOWN-RED.txt
fi
skip=${skip:-^$}
test_timeout=60m # of one package; Go's default of 10m is near what io/mesh takes beside load with the race detector
rapid_packages=$(grep -rl 'pgregory.net/rapid' --include='*_test.go' core io platform |
  xargs -n1 dirname | sort -u | sed 's|^|./|')
other_packages=$(go list ./... | grep -v '/io/trial$' | sed 's|^rhubarbspread|.|' |
  grep -vxF "$rapid_packages" | grep -vx './platform')
# With the race detector hundreds of nodes take minutes; the same code runs under it with fewer.
many_nodes='/^300_nodes$'
go test -race -timeout "$test_timeout" -count=1 -skip "$skip|$many_nodes" $other_packages
# Its nodes use real sockets and time, so they run without other packages beside them, and few of them at once.
go test -race -timeout "$test_timeout" -count=1 -parallel 2 -skip "$skip" ./platform
go test -race -timeout "$test_timeout" -count=1 -skip "$skip|$many_nodes" $rapid_packages -rapid.seed=1
go test -timeout "$test_timeout" -count=1 -run "$many_nodes" -skip "$skip" ./core/board ./io/mesh
go test -timeout "$test_timeout" -count=1 -short -skip "$skip" ./io/trial
