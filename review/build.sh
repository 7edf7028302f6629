#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them; they need nothing but Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/playground.py [1-5]/case.py
