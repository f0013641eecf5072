#!/bin/sh
# Builds what the routed roles need under target/deps: libraries, then own sources.
set -eu
cd "$(dirname "$0")/.."
stamp=target/deps/.requirements
if ! cat deploy/requirements.txt constraints.txt | cmp -s - "$stamp"; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt -c constraints.txt
    cat deploy/requirements.txt constraints.txt > "$stamp"
fi
rm -rf target/deps/yuccapitch
mkdir -p target/deps/yuccapitch
for source in packages/*/src/yuccapitch platform/src/yuccapitch; do
    cp -R "$source/." target/deps/yuccapitch/
done
python3 -m compileall -q target/deps
