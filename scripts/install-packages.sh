#!/usr/bin/env bash
# Installs compiler, tools and libraries from Debian's packages.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q g++ cmake ninja-build ccache clang-format clang-tidy \
  pkg-config python3 libtbb-dev libzmq3-dev cppzmq-dev libprotobuf-dev \
  libboost-dev libcli11-dev libgoogle-glog-dev doctest-dev libinih-dev \
  nlohmann-json3-dev libxxhash-dev libsimdjson-dev librapidcheck-dev
