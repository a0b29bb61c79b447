#!/usr/bin/env bash
number=1
. "$(dirname "$0")/../common/run.sh"
