#!/bin/sh
# Builds all stand-ins that the scripts start.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --offline
