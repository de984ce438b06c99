#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Build first: deploy/system.toml's build line and review/build.sh.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../bin/platform ] || [ ! -x ../../target/lovagelane ]; then
	echo "not built: run the build line of deploy/system.toml and review/build.sh" >&2
	exit 2
fi
exec ../bin/platform leave-restart ../.. record.txt
