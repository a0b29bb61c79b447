#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
. "$case_folder/../common-2/run-case.sh"
