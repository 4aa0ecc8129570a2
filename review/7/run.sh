#!/bin/sh
# Plays the case; 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standins ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/standins large-status review/7
