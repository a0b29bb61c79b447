#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption (read by with_trouble() in ../common/harness.h).
export TROUBLE="${TROUBLE:-1}"
number=1
. "$(dirname "$0")/../common/run.sh"
