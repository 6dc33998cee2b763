#!/usr/bin/env bash
# Runs the case in a folder: exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
set -u
cd "$1" || exit 2
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
