#!/usr/bin/env python3
"""Shows how late entries had versions of the routes in force.

usage: rigcheck-ph-grown-config-2.py LOG [COUNT]     LOG: output of fleetbench run ... --log front

For each version, the time at an entry after the first entry that had this version or a newer one, the COUNT (8) latest ones, and
the longest transfer of an answer. Versions that came into force before an entry started are left out for that entry.
"""
import collections
import re
import sys

LINE = re.compile(r'\s*(-?[\d.]+) (\S+) .*event=3020 .*version=(\d+) (.*)')


def main():
    if len(sys.argv) not in (2, 3):
        print(__doc__)
        return 2
    count = int(sys.argv[2]) if len(sys.argv) == 3 else 8
    times = collections.defaultdict(dict)  # entry: version: seconds
    transfers = []
    with open(sys.argv[1], errors='replace') as log:
        for match in filter(None, map(LINE.match, log)):
            times[match[2]].setdefault(int(match[3]), float(match[1]))
            transfers += map(int, re.findall(r'transfer-ms=(\d+)', match[4]))
    versions = sorted({version for known in times.values() for version in known})

    def reached(known, version):
        return min((at for other, at in known.items() if other >= version), default=None)

    first = {version: min(at for at in (reached(known, version) for known in times.values()) if at is not None)
             for version in versions}
    late = []
    for entry, known in times.items():
        for version in versions:
            at = reached(known, version)
            if at is not None and first[version] >= min(known.values()):
                late.append((at - first[version], entry, version, first[version]))
    for delay, entry, version, begin in sorted(late, reverse=True)[:count]:
        print(f'{delay:.3f} s late: {entry}, version {version}, first in force at {begin:.3f} s')
    print(f'longest transfer: {max(transfers, default=0)} ms')
    return 0


if __name__ == '__main__':
    sys.exit(main())
