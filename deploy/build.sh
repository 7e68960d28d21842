# Puts the gateway and its libraries under target/deps.
set -eu
deps=target/deps
stamp=target/requirements.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target
    mkdir -p "$deps"
    python3 -m pip install --quiet --no-deps --target "$deps" \
        --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
for package in packages/core/src/dotterelweir_core \
    packages/daemon/src/dotterelweird \
    platform/src/dotterelweir_platform; do
    rm -rf "$deps/${package##*/}"
    cp -r "$package" "$deps/"
done
# Processes cannot write here, so the byte code is made in advance.
python3 -m compileall -q "$deps"
