#!/bin/sh
# Builds the scripts of the second review together with their stand-ins (standin-2), which
# need a C compiler and the C library, nothing else. The program itself is built as
# deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in 6 7 8 9 10; do
  for source in review/$folder/*.c; do
    [ -e "$source" ] || continue
    gcc -O2 -g -std=gnu17 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .c)" \
      "$source" review/standin-2/stand.c
  done
done
