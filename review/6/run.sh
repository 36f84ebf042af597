#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || exit 2
target/review-2/standin tenants review/6 &
standin=$!
# If the script itself is ended, so is all that it started.
end() {
    kill -KILL $(ps -o pid= --ppid $standin) $standin 2>/dev/null
    rm -rf "${TMPDIR:-/tmp}/ryerouter-review-$standin"
    exit 2
}
trap end HUP INT TERM
wait $standin
