"""The routing decisions stay in small modules without I/O, which the deploy file names."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
ROUTING = sorted((ROOT / "stonecove" / "routing").glob("*.py"))
MAX_LINES = 500
MAX_WIDTH = 110
MAX_METHODS = 25
ALLOWED_IMPORTS = {
    "__future__",
    "collections",
    "dataclasses",
    "enum",
    "functools",
    "math",
    "random",
    "stonecove",
    "typing",
}


@pytest.mark.parametrize("path", ROUTING, ids=[path.stem for path in ROUTING])
def test_a_module_of_the_decisions_is_small(path: Path) -> None:
    text = path.read_text()
    lines = text.splitlines()
    assert len(lines) <= MAX_LINES and max(map(len, lines)) <= MAX_WIDTH
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ClassDef):
            assert sum(isinstance(each, ast.FunctionDef) for each in node.body) <= MAX_METHODS


@pytest.mark.parametrize("path", ROUTING, ids=[path.stem for path in ROUTING])
def test_a_module_of_the_decisions_imports_nothing_that_does_io(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
        names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
        for name in names:
            assert name.partition(".")[0] in ALLOWED_IMPORTS, name
            assert not name.startswith("stonecove") or name.startswith("stonecove.routing"), name


def test_the_deploy_file_names_every_module_of_the_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy["policy"]) == [path.relative_to(ROOT).as_posix() for path in ROUTING]
