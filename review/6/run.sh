#!/usr/bin/env bash
# Exit code 1: CONFIG was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/config-storm ] && [ -x target/bin/wasabi-packet-entry ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# Size of a configuration in bytes, bandwidth of an entry's link in Mbit/s.
timeout -k 5 110 target/review-2/config-storm "$folder" review/6/record.txt "${TROUBLE:-1}" 217000 13
code=$?
grep -h -E "event=(3020|3023|3024|3028) " "$folder"/entry-*.log 2>/dev/null | cut -c1-200 >> review/6/record.txt
[ "$code" -le 1 ] || exit 2
exit "$code"
