#!/usr/bin/env bash
number=3
. "$(dirname "$0")/../common/run.sh"
