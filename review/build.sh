#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python, so this checks
# that each can be imported with the libraries of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import fakes.callers
import fakes.objects
import fakes.shards
import review.deployment
'
