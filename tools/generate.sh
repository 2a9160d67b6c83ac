#!/bin/sh
# SPDX-License-Identifier: BSD-3-Clause
# Regenerates the wire modules, which are committed so that a build needs no generator.
# Requires grpcio-tools and grpclib in the environment whose bin folder is $1 (default: .venv/bin).
set -eu
cd "$(dirname "$0")/.."
bin="${1:-.venv/bin}"
PATH="$bin:$PATH" "$bin/python" -m grpc_tools.protoc -Ipackages/lanedock \
  --python_out=packages/lanedock --grpclib_python_out=packages/lanedock \
  packages/lanedock/lanedock/wire/lanedock.proto
