#!/bin/sh
# Builds the programs of the review's scripts, with their stand-ins, into review/build/.
set -e
cd "$(dirname "$0")"
mkdir -p build
for case in */case.c; do
    name=$(dirname "$case")
    gcc -D_GNU_SOURCE -std=c17 -O1 -g -Wall -Wextra -pthread -Istandin \
        -o "build/case-$name" "$case" standin/review.c
done
