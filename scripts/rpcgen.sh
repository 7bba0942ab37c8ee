#!/bin/sh
# Regenerates the committed XDR headers and codecs from src/wire_*.x. Needs
# rpcgen (Debian package rpcsvc-proto).
set -eu
cd "$(dirname "$0")/../src"
for proto in wire_*.x; do
  stem=${proto%.x}
  rm -f "$stem.h" "${stem}_xdr.c"
  rpcgen -N -M -h -o "$stem.h" "$proto"
  rpcgen -N -M -c -o "${stem}_xdr.c" "$proto"
done
