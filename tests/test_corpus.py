"""Plays the corpus that `benchmarks/fuzz.py` has kept: nothing breaks, no stranger gets in."""

from __future__ import annotations

import base64
from pathlib import Path

import pytest

from benchmarks.fuzz import TARGETS

CORPUS = Path(__file__).parent / "corpus"


@pytest.mark.parametrize("name", sorted(TARGETS))
def test_the_corpus_breaks_nothing(name: str) -> None:
    target, first = TARGETS[name]
    lines = (CORPUS / f"{name}.b64").read_text().split()
    assert len(lines) >= len(first)
    for line in lines:
        target(base64.b64decode(line))
