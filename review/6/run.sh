#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && exec python3 case.py
