#!/usr/bin/env bash
# Puts the libraries and our own packages into target/deps.
set -euo pipefail
deps=target/deps
sources=(packages/guavaroad/src/guavaroad platform/src/guavaroad_platform)
# Logged by each process when it starts. Missing while a build is incomplete.
build_id=$deps/guavaroad-build.txt

# Prints a digest of files, by their content.
digest_of() {
    python3 -c '
import hashlib, pathlib, sys
content = [path.read_bytes() for path in map(pathlib.Path, sys.argv[1:])]
lengths = [len(item) for item in content]
print(hashlib.sha256(repr(lengths).encode() + b"".join(content)).hexdigest()[:12])
' "$@"
}

# Names the machine and the Python, so that a carried-over folder is rebuilt.
built_for=$(python3 -c 'import platform, sysconfig; print(sysconfig.get_platform(), platform.python_version(), sep="-")')
stamp=target/.libraries-$built_for
pins=$(digest_of deploy/requirements.txt constraints.txt)
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ] || [ constraints.txt -nt "$stamp" ] \
    || { [ -s "$stamp" ] && [ "$(cat "$stamp")" != "$pins" ]; }; then
    rm -rf "$deps" target/.libraries*
    mkdir -p "$deps"
    PIP_CONSTRAINT=constraints.txt python3 -m pip install -q --disable-pip-version-check -U --target "$deps" -r deploy/requirements.txt
    echo "$pins" > "$stamp"
fi

# A build without changes leaves the files alone: processes may be starting from
# them, as when two runs share this checkout.
mapfile -t files < <(find "${sources[@]}" -name '*.py' | LC_ALL=C sort)
id=$(digest_of "${files[@]}")
is_current=true
[ "$(cat "$build_id" 2> /dev/null)" = "$id" ] || is_current=false
for package in "${sources[@]}"; do
    diff -rq -x __pycache__ "$package" "$deps/$(basename "$package")" > /dev/null 2>&1 || is_current=false
done
if ! $is_current; then
    rm -f "$build_id"
    for package in "${sources[@]}"; do
        rm -rf "${deps:?}/$(basename "$package")"
        cp -r "$package" "$deps/"
        find "$deps/$(basename "$package")" -name __pycache__ -prune -exec rm -rf {} +
    done
    python3 -m compileall -q "$deps"
    echo "$id" > "$build_id"
fi
