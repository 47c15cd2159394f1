"""Compare the formats of coordination (gossip, roll-outs, records, ZooKeeper) with golden data."""

from __future__ import annotations

import golden_coordination_frames as frames
import golden_coordination_gossip as gossip
import golden_coordination_records as records
import golden_coordination_rollouts as rollouts
import golden_coordination_sessions as sessions
import pytest
from golden_folder import Case, GoldenFolder, main

FOLDER = GoldenFolder("coordination")
CASES: tuple[Case, ...] = (
    gossip.DATAGRAMS,
    *rollouts.FORMATS,
    *records.FORMATS,
    *frames.CASES,
    *sessions.CASES,
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_matches_golden_data(case: Case) -> None:
    case.check(FOLDER)


def test_every_golden_file_is_checked() -> None:
    recorded = {path.stem for path in FOLDER.path.iterdir()} - {"README"}
    assert recorded == {case.name for case in CASES}


if __name__ == "__main__":
    main(FOLDER, CASES)
