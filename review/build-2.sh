#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file: the router's own optional
# parts (the operator's file, tokens, the command line), by the extras of pyproject.toml. The stand-ins need no build.
set -e
cd "$(dirname "$0")/.."
names=$(.venv/bin/python - <<'END'
import re
import tomllib

NEEDED = {"click", "lark", "cryptography", "joserfc", "h11", "xxhash"}
with open("pyproject.toml", "rb") as file:
    extras = tomllib.load(file)["project"]["optional-dependencies"]
wanted = extras["cli"] + extras["operator"] + extras["access"]
print("\n".join(name for name in wanted if re.split("[<>=]", name)[0] in NEEDED))
END
)
printf '%s\n' "$names" | .venv/bin/python -m pip install -q --disable-pip-version-check -r /dev/stdin
