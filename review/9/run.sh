#!/bin/sh
# Plays case 9. TROUBLE=0 plays it with more time between the versions.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 target/review-kit-2 versions review/9/record.txt target/barleylift
