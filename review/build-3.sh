#!/bin/bash
# Builds what the scripts of the cases 11 to 15 start beside the system itself.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/testdata/standin3
