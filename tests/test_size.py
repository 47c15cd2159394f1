"""The decision module stays short enough to be audited."""

from pathlib import Path


def test_module_stays_within_its_limits() -> None:
    text = Path(__file__).parent.parent.joinpath("stonecove", "routing/director.py").read_text()
    lines = [line for line in text.splitlines() if line.strip()]
    assert len(lines) <= 750
    assert max(map(len, lines)) <= 110
