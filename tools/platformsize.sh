#!/usr/bin/env bash
# Fails if the platform adapter (platform/) exceeds its maximum percentage of the code, or
# if another module imports it. The adapter only translates between the platform and the
# proxy; decisions belong in the other modules.
set -euo pipefail
cd "$(dirname "$0")/.."
most_percent=15
lines() { git ls-files "$@" | grep -v '_test\.go$' | grep -v '\.pb\.go$\|connect\.go$' | xargs cat | wc -l; }
platform=$(lines 'platform/*.go')
all=$(lines '*.go')
if ((platform * 100 > all * most_percent)); then
  echo "platform/ has $platform of $all lines, above $most_percent%" >&2
  exit 1
fi
if git grep -l '"amaranthdock.dev/platform' -- '*.go' ':!platform/'; then
  echo "the files above import the platform's adapter" >&2
  exit 1
fi
echo "platform/ has $platform of $all lines."
