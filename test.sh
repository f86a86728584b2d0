#!/usr/bin/env bash
# The project's checks: format, vet, linter, race-enabled tests with fixed seeds, and the Spin specifications.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd core io)
if [ -n "$unformatted" ]; then
  printf 'gofmt would change:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool revive -config revive.toml -exclude 'io/peer/wire/*.pb.go' ./...
if [ -x spec/check.sh ]; then
  spec/check.sh
fi
# A known fault is skipped by name and printed; KNOWN-RED.txt says more of each.
skip=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
if [ -n "$skip" ]; then
  printf 'known red, not run here:\n'
  sed -n 's/^test: /  /p' KNOWN-RED.txt
  go test -race -count=1 -skip "$skip" ./...
else
  go test -race -count=1 ./...
fi
