#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; needs no network.
set -eu
cd "$(dirname "$0")/stand_in"
cargo build --release --locked --offline
