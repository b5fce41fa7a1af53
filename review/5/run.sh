#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rhubarbshore ] && [ -x target/review/harness ] || exit 2
exec target/review/harness reservation review/5
