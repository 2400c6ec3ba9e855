#!/bin/sh
exec "$(dirname "$0")/../standin-3/run-case" "$(dirname "$0")" late_entry failed
