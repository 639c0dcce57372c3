#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o "${OUT:-target/review-standin}" ./review/standin
