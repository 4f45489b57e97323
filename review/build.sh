#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs of the standard library only, so that
# there is nothing to compile: this checks that they can be read, and that the programs of the deploy file's
# build are there. Run the build of deploy/balancer.toml first.
cd "$(dirname "$0")" || exit 2
python3 - <<'END' || exit 2
import glob
for name in sorted(glob.glob("common/*.py") + glob.glob("[0-9]/*.py")):
    compile(open(name, encoding="utf-8").read(), name, "exec")
    print("ok", name)
END
test -x ../build/peargrade || { echo "build/peargrade is missing: run the build of deploy/balancer.toml"; exit 2; }
test -f ../build/peargrade_sources.so || { echo "build/peargrade_sources.so is missing"; exit 2; }
