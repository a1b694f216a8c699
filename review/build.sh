#!/bin/bash
# Builds what the scripts of review/ start besides the programs of the deploy file: Python files of the
# standard library alone, compiled here. Nothing is fetched.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
