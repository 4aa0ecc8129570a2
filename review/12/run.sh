#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins ] && [ -x target/release/goldcrestpitch ] || exit 2
exec target/review-3/standins entry review/12
