#!/usr/bin/env bash
# Installs what the build needs; does nothing where it is there already.
set -euo pipefail
packages=(cmake ninja-build ccache g++ qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libwebsocketpp-dev
    prometheus-cpp-dev libtclap-dev libboost-log1.81-dev libboost-thread1.81-dev libboost1.81-dev
    libgoogle-perftools-dev librapidcheck-dev nlohmann-json3-dev libgtest-dev libbenchmark-dev libxxhash-dev clang-format clang-tidy python3)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
