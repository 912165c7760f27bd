#!/bin/bash
# Builds the stand-ins of the scripts into review/bin. It is run in the root of the repository, after
# the build of the deploy file.
set -e
go build -o review/bin/standin ./review/testdata/standin
