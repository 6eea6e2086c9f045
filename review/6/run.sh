#!/bin/sh
# Plays case 6 on the real clock. TROUBLE=0 plays it without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 target/review-kit-2 frozen-holder review/6/record.txt target/barleylift
