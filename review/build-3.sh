#!/bin/sh
# Builds the stand-ins of the third review into target/review-3/, from the root.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/1[1-5]/*.c
do
  [ -f "$source" ] || continue
  gcc -std=c17 -D_GNU_SOURCE -O2 -g -Wall -Wextra -I. $(pkg-config --cflags glib-2.0) \
    -o "$out/$(basename "$source" .c)" "$source" review/standin-3/plat.c \
    $(pkg-config --libs glib-2.0) -pthread
done
