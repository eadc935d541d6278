#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$0")/../run_case.sh" 3
