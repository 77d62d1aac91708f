#!/usr/bin/env bash
# Builds all stand-ins of the review's cases; run after the build of deploy/service.toml, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -cp 'target/lib/*' -d target/review review/*.java
