"""The example of the README runs and prints the routing decisions that it shows."""

import re
from pathlib import Path

import pytest


def test_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = Path(__file__).parent.parent.joinpath("README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code is not None
    exec(compile(code[1], "README.md", "exec"), {})
    lines = capsys.readouterr().out.splitlines()
    assert re.fullmatch(r"ask cache 10[12], fill from 201, keep at rank 1", lines[0])
    assert lines[1] == "[]"
