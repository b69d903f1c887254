#!/bin/sh
# Checks the stand-ins of the second review (Python modules: nothing to compile) and builds the version that
# deploy/service.toml names as production out of the repository's history, into target/production/. Needs no network.
cd "$(dirname "$0")" || exit 1
python3 -c 'import ast, sys; [ast.parse(open(f).read(), f) for f in sys.argv[1:]]' lib2/*.py [456]/case.py || exit 1
cd .. || exit 1
test -x target/flaxknot || { echo "build the service first, as deploy/service.toml says"; exit 1; }
commit=$(sed -n 's/^production = "\(.*\)"/\1/p' deploy/service.toml)
if [ "$(cat target/production/commit 2>/dev/null)" != "$commit" ]; then
  rm -rf target/production && mkdir -p target/production || exit 1
  git archive "$commit" | tar -x -C target/production || exit 1
  (cd target/production && cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF &&
    cmake --build target -j8) || exit 1
  echo "$commit" >target/production/commit
fi
test -x target/production/target/flaxknot
