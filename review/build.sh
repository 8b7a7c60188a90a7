#!/bin/sh
# Builds the programs of the cases, each with its stand-ins, into bin/. They use the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p ../bin
for case in 1 2 3; do
	go build -o "../bin/review-$case" "./$case"
done
