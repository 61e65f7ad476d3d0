#!/usr/bin/env bash
# The stand-ins of review/standins-3 and the scripts that use them are plain JavaScript for Node 20; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.js 1[1-5]/*.js; do
	[ -e "$file" ] && node --check "$file"
done
