#!/bin/sh
# Case 6: a new file that lacks a key is taken, and sessions miss their own writes
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cases="$root/target/review-2/cases"
if [ ! -x "$cases" ] || [ ! -x "$root/target/release/wheelpier" ]; then
    echo "needs the build of the deploy file and review/build-2.sh first"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
ROOT="$root" timeout -k 2 115 "$cases" missing-key "$here" "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
