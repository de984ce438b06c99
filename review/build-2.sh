#!/usr/bin/env bash
# Builds the program that plays the cases 6 and up, with its stand-ins of the store, of backends and of clients.
# It needs only Go and no network. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/rig-2/platform"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../../target/rig-2 .
