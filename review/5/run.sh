#!/bin/sh
# Exits with 1 if the rule broke, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" && exec python3 play.py
