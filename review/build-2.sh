#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run it after the build of the deploy
# file, in any directory.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-kit-2 ./review/_src-2/kit
