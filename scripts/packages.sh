#!/bin/bash
# Installs the packages that the build and the tests need (Debian).
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache lld pkg-config clang-format clang-tidy
  libabsl-dev libcereal-dev libmicrohttpd-dev libcurl4-openssl-dev prometheus-cpp-dev
  libyaml-cpp-dev libtclap-dev liblog4cplus-dev nlohmann-json3-dev libsodium-dev
  libboost-dev libboost-test-dev librapidcheck-dev spin gcc curl
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
