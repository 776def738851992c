#!/usr/bin/env bash
# Builds the programs of the cases review/11 to review/15 and the stand-ins that they start, after
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -I.)
libraries=(target/libfoxtailtally_gateway.a target/libfoxtailtally_platform.a
    target/libfoxtailtally_peers.a target/libfoxtailtally_servers.a target/libfoxtailtally_core.a)
sources=(review/rig-3/deployment.cpp tests/process/serving_standin.cpp
    tests/process/restorable_store.cpp tests/process/child_process.cpp
    tests/process/http_caller.cpp
    tests/process/fault_proxy.cpp tests/http/raw_peer.cpp)
packages=$(pkg-config --libs libsodium libxxhash liburcu-memb libevent_core libcurl zlib \
    absl_flat_hash_map absl_flat_hash_set absl_inlined_vector absl_strings absl_str_format \
    absl_time absl_span absl_status absl_synchronization absl_hash absl_btree)
objects=()
for source in "${sources[@]}"; do
    object="$out/$(basename "$source" .cpp).o"
    [ "$object" -nt "$source" ] || g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
for case in review/1[1-5]/case.cpp; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    # shellcheck disable=SC2086
    g++ "${flags[@]}" "$case" "${objects[@]}" -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
        $packages -lhttp_parser -linih -o "$out/case-$number"
done
