#!/usr/bin/env bash
# Runs one case: run-case.sh CLASS FOLDER. All processes that it starts end with it.
here="$(cd "$(dirname "$0")/.." && pwd)"
if [ ! -d "$here/target/review" ] || [ ! -f "$here/target/sillreel.jar" ]; then
    echo "build first: the build of deploy/service.toml, then review/build.sh" >&2
    exit 2
fi
timeout --kill-after=2 117 java -Xmx768m -Dsun.net.httpserver.nodelay=true -Dsun.net.http.retryPost=false \
    -cp "$here/target/review:$here/target/lib/*" "$1" "$2" "$here"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
