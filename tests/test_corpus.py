"""Replay the inputs saved by `benchmarks/fuzz.py`: no parser crashes, no forged token is accepted."""

from __future__ import annotations

import base64
from pathlib import Path

import pytest

from benchmarks.fuzz import TARGETS

CORPUS = Path(__file__).parent / "corpus"


@pytest.mark.parametrize("name", sorted(TARGETS))
def test_saved_inputs_cause_no_finding(name: str) -> None:
    """A fuzz target accepts its saved inputs, at least as many as it starts from."""
    target, initial_inputs = TARGETS[name]
    lines = (CORPUS / f"{name}.b64").read_text().split()
    assert len(lines) >= len(initial_inputs)
    for line in lines:
        target(base64.b64decode(line))
