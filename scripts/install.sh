#!/usr/bin/env bash
# Installs the Debian packages that the build, the linters and the tests need.
set -euo pipefail
packages=(g++ ccache cmake ninja-build pkg-config clang-format clang-tidy git curl python3
  libevent-dev libsigc++-3.0-dev nlohmann-json3-dev prometheus-cpp-dev
  liblog4cxx-dev libdocopt-dev libyaml-cpp-dev libboost1.81-dev libxxhash-dev
  libssl-dev libhttp-parser-dev libcpputest-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
  # Another installed package may provide $package, so a failed query only passes
  # the decision to apt-get.
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
