#!/bin/sh
# Builds the stand-ins that the scripts start: the platform's store, backends and clients, in one program without dependencies.
set -eu
cd "$(dirname "$0")/platform"
go build -o ../bin/platform .
