#!/bin/sh
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib exec timeout -k 1 118 python3 case.py record.txt
