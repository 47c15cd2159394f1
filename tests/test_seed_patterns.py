"""Seeded faults replace a piece of source text: each has to find its piece once, and nothing else."""

from __future__ import annotations

import pytest

from stonecove.explore import seeds

ALL = seeds.SEEDS + seeds.HELPERS


@pytest.mark.parametrize("seed", ALL, ids=[seed.name for seed in ALL])
def test_the_text_of_a_seed_stands_exactly_once_in_its_function(seed: seeds.Seed) -> None:
    assert seeds.occurrences(seed) == 1
    assert seed.new != seed.old


def test_each_seed_has_a_name_of_its_own() -> None:
    names = [seed.name for seed in ALL]
    assert len(names) == len(set(names)) > 0
