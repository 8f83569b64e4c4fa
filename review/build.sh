#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review; needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review/stand-in review/stand_ins/stand_in.cc
