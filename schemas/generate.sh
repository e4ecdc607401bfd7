#!/usr/bin/env bash
# Regenerates the headers of the schemas (needs flatc 2.0.8).
set -euo pipefail
cd "$(dirname "$0")"
flatc --cpp --cpp-std c++17 --scoped-enums Frame.fbs Presence.fbs
flatc --cpp --cpp-std c++17 --scoped-enums --gen-mutable Hop.fbs
