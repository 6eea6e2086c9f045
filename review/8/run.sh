#!/bin/sh
# Plays case 8. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 target/review-kit-2 revoked-key review/8/record.txt target/barleylift
