#!/bin/sh
# Builds what the scripts of the third review start beside the hosts. Their
# stand-ins are Python sources that need only the libraries of target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m py_compile review/lab_3.py review/11/case.py review/12/case.py review/13/case.py
PYTHONPATH=target/deps:review python3 -c "import lab_3"
