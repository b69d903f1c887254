#!/bin/sh
# The stand-ins are Python modules: there is nothing to compile, this only checks that they can be loaded and
# that the service has been built as the deploy file says.
cd "$(dirname "$0")" || exit 1
python3 -c 'import ast, sys; [ast.parse(open(f).read(), f) for f in sys.argv[1:]]' lib/standins.py ./*/case.py || exit 1
test -x ../target/flaxknot || { echo "build the service first, as deploy/service.toml says"; exit 1; }
