#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3/lab ] || { echo 'run review/build-3.sh first'; exit 2; }
exec target/review-3/lab late-copy "$here"
