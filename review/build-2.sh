#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain Node programs without dependencies: nothing is compiled. This checks that Node can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs {6,7,8,9,10}/*.mjs; do
	[ ! -e "$file" ] || node --check "$file"
done
