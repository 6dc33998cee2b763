#!/usr/bin/env bash
# Puts the libraries and our own packages into target/deps.
set -euo pipefail
deps=target/deps
# Names the machine and the Python, so that a carried-over folder is rebuilt.
built_for=$(python3 -c 'import platform, sysconfig; print(sysconfig.get_platform(), platform.python_version(), sep="-")')
stamp=target/.libraries-$built_for
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ] || [ constraints.txt -nt "$stamp" ]; then
    rm -rf "$deps" target/.libraries*
    mkdir -p "$deps"
    PIP_CONSTRAINT=constraints.txt python3 -m pip install -q --disable-pip-version-check -U --target "$deps" -r deploy/requirements.txt
    touch "$stamp"
fi
# A build without changes leaves the files alone: processes may be starting from
# them, as when two runs share this checkout.
for package in packages/guavaroad/src/guavaroad platform/src/guavaroad_platform; do
    if ! diff -rq -x __pycache__ "$package" "$deps/$(basename "$package")" > /dev/null 2>&1; then
        rm -rf "${deps:?}/$(basename "$package")"
        cp -r "$package" "$deps/"
        find "$deps/$(basename "$package")" -name __pycache__ -prune -exec rm -rf {} +
        python3 -m compileall -q "$deps"
    fi
done
