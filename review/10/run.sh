#!/bin/sh
# One case of the review: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; SEED=K fixes the draws of the stand-ins, not the timing.
exec "$(dirname "$0")/../common-2/run.sh" "$(dirname "$0")"
