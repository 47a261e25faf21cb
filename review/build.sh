#!/usr/bin/env bash
# Compiles the stand-ins of all cases into review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -nowarn -d target standins/*.java
