#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/rig-2" ] && [ -x "$root/target/lovagelane" ] || { echo "build first"; exit 2; }
exec "$root/target/rig-2" poison-forgotten "$root" "$PWD/record.txt"
