#!/bin/sh
# Builds the stand-ins of the second review's scripts: compiles the project's
# fakes and the modules here, and checks that they find their libraries in the
# build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps
python3 -m compileall -q fakes review/small_deployment.py \
    review/queued_searcher.py review/[6-9]
python3 -c "from review import queued_searcher, small_deployment"
