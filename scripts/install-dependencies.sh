#!/usr/bin/env bash
# Installs the compilers, tools and libraries that endivedoor requires from Debian packages.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(g++ cmake ninja-build ccache pkg-config git
  libboost1.81-dev libboost-json1.81-dev libzmq3-dev cppzmq-dev
  libprotobuf-dev protobuf-compiler libyaml-cpp-dev libgoogle-glog-dev libabsl-dev
  prometheus-cpp-dev librapidcheck-dev libgtest-dev libgmock-dev libbenchmark-dev libxxhash-dev
  clang-format clang-tidy clang-tools gnuplot-nox)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
"${sudo[@]}" apt-get install -y -q --no-install-recommends "${packages[@]}"
