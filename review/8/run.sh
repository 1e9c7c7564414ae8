#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib-2
timeout -k 4 112 python3 case.py
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
