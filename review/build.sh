#!/bin/bash
# Builds the stand-ins and the control program of the review's scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/_src/cases
