#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the upgrade out.
cd "$(dirname "$0")" || exit 2
play=../standins/target/release/play
[ -x "$play" ] || { echo "run review/build.sh first"; exit 2; }
[ -x ../../target/release/message-sender ] || { echo "run the deploy file's build first"; exit 2; }
exec "$play" "$(cd ../.. && pwd)" maintenance record.txt
