"""Compare the formats of the fleet (leases, journal, logs, spans, control sockets) with golden data."""

from __future__ import annotations

import golden_fleet_control as control
import golden_fleet_journal as journal
import golden_fleet_lease_file as lease_file
import golden_fleet_leases as leases
import golden_fleet_logs as logs
import golden_fleet_spans as spans
import golden_fleet_supervisor as supervisor
import pytest
from golden_fleet_files import FOLDER
from golden_folder import Case, main

CASES: tuple[Case, ...] = (
    *journal.CASES,
    *logs.CASES,
    *spans.CASES,
    *leases.CASES,
    *lease_file.CASES,
    *supervisor.CASES,
    *control.CASES,
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_matches_golden_data(case: Case) -> None:
    case.check(FOLDER)


def test_every_golden_file_is_checked() -> None:
    recorded = {path.stem for path in FOLDER.path.iterdir()} - {"README"}
    assert recorded == {case.name for case in CASES}


if __name__ == "__main__":
    main(FOLDER, CASES)
