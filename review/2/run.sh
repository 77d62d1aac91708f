#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../run-case.sh" Case2 "$folder"
