#!/bin/sh
# Builds the stand-ins and the checks of the cases 6 to 10 into target/review-2; needs a JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn --add-modules jdk.httpserver -d target/review-2 \
    review/standins-2/reviewkit/*.java $(find review/6 review/7 review/8 review/9 review/10 -name 'Check*.java' 2>/dev/null)
