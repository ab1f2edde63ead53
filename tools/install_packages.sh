#!/usr/bin/env bash
# Installs the Debian 12 packages that the build, the checks and the plots need. Does nothing when all
# of them are installed. Needs root only when something is missing.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config clang-format-14 clang-tidy-14 git curl
  libcxxtools-dev libjsonrpccpp-dev libmicrohttpd-dev libcurl4-openssl-dev libjsoncpp-dev
  prometheus-cpp-dev libtclap-dev libgoogle-glog-dev libabsl-dev catch2 libhttp-parser-dev liburcu-dev
  librapidcheck-dev nlohmann-json3-dev libxxhash-dev libssl-dev libuv1-dev libmsgpack-cxx-dev zlib1g-dev gnuplot-nox)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$status" = installed ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
