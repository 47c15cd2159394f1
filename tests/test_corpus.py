"""Replay the inputs saved by `benchmarks/fuzz.py`: no parser crashes, no forged token is accepted."""

from __future__ import annotations

import base64
from pathlib import Path

import pytest

from benchmarks.fuzz import TARGETS

CORPUS = Path(__file__).parent / "corpus"


@pytest.mark.parametrize("name", sorted(TARGETS))
def test_fuzz_targets_find_no_fault_in_their_saved_inputs(name: str) -> None:
    """Run a fuzz target on its saved inputs; there are at least as many as its initial inputs."""
    target, initial_inputs = TARGETS[name]
    lines = (CORPUS / f"{name}.b64").read_text().split()
    assert len(lines) >= len(initial_inputs)
    for line in lines:
        target(base64.b64decode(line))
