"""Each planted fault replaces a piece of source text, which must occur exactly once in its function."""

from __future__ import annotations

import pytest

from stonecove.explore import seeds

PLANTED_FAULTS = seeds.SEEDS + seeds.HELPERS


@pytest.mark.parametrize("seed", PLANTED_FAULTS, ids=[seed.name for seed in PLANTED_FAULTS])
def test_text_to_replace_occurs_exactly_once_in_its_function(seed: seeds.Seed) -> None:
    assert seeds.occurrences(seed) == 1
    assert seed.new != seed.old


def test_planted_fault_names_are_unique() -> None:
    names = [seed.name for seed in PLANTED_FAULTS]
    assert len(names) == len(set(names)) > 0
