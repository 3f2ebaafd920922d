#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are plain JavaScript in
# review/lib-2, run inside the process of a case, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do node --check "$file"; done
