"""Each planted fault replaces a piece of source text, which must occur exactly once in its function."""

from __future__ import annotations

import pytest

from stonecove.explore import seeds

ALL = seeds.SEEDS + seeds.HELPERS


@pytest.mark.parametrize("seed", ALL, ids=[seed.name for seed in ALL])
def test_seed_text_occurs_exactly_once_in_its_function(seed: seeds.Seed) -> None:
    assert seeds.occurrences(seed) == 1
    assert seed.new != seed.old


def test_seed_names_are_unique() -> None:
    names = [seed.name for seed in ALL]
    assert len(names) == len(set(names)) > 0
