#!/bin/sh
# Runs the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec python3 review/11/case.py
