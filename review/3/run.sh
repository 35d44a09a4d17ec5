#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -f ../target/SpoiltAnswer.class ] && [ -f ../../relay/target/ambertrestle.jar ] || { echo "not built"; exit 2; }
timeout -k 5 110 java -cp ../target SpoiltAnswer "$(cd ../.. && pwd)" record.txt "$folder"
code=$?
[ $code -le 2 ] || code=2
exit $code
