#!/usr/bin/env bash
# Exit code 1: CONFIG was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/config-storm ] && [ -x target/bin/wasabi-packet-entry ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
result=0
: > review/6/record.txt
# Size of a configuration in bytes, bandwidth of an entry's link in Mbit/s.
for figures in "217000 13" "1048576 1000"; do
  mkdir "$folder/run"
  # shellcheck disable=SC2086
  timeout -k 5 55 target/review-2/config-storm "$folder/run" "$folder/record.txt" "${TROUBLE:-1}" $figures
  code=$?
  { echo "== configurations of ${figures% *} bytes, entries with links of ${figures#* } Mbit/s"; cat "$folder/record.txt"
    grep -h -E "event=(3020|3023|3024|3028) " "$folder"/run/entry-*.log | cut -c1-200; } >> review/6/record.txt
  rm -rf "$folder/run"
  [ "$code" -le 1 ] || exit 2
  [ "$code" -eq 0 ] || result=1
done
exit "$result"
