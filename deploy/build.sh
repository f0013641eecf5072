#!/bin/sh
# Builds what the routed roles need under target/deps: libraries, then own sources.
set -eu
cd "$(dirname "$0")/.."
stamp=target/deps/.requirements
# Compiled libraries of another kind of machine or interpreter can't be loaded.
describe() {
    cat deploy/requirements.txt constraints.txt
    python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))'
}
if [ "$(describe)" != "$(cat "$stamp" 2> /dev/null)" ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt -c constraints.txt
    describe > "$stamp"
fi
rm -rf target/deps/yuccapitch
mkdir -p target/deps/yuccapitch
for source in packages/*/src/yuccapitch platform/src/yuccapitch; do
    cp -R "$source/." target/deps/yuccapitch/
done
python3 -m compileall -q target/deps
