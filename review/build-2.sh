#!/bin/sh
# Builds the program that the scripts in review/6 to review/10 run. It has the stand-ins for callers, servers and the
# platform. The project's own program is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/case2 ./review/testdata/case2
