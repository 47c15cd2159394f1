"""Storage of recordings: the first steps in full, hashes of all, and a report of differences."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "golden" / "decisions"
FULL_STEPS = 200  # steps stored in full; the others are stored as hashes
BLOCK_STEPS = 50  # steps that share one long hash


def _hash(value: Any) -> str:
    return hashlib.sha256(json.dumps(value).encode()).hexdigest()


def _block_digest(steps: list[Any]) -> str:
    """Return 16 hex digits of the hash of all steps, and 3 for each step, to locate a difference."""
    return _hash(steps)[:16] + "".join(_hash(step)[:3] for step in steps)


def _first_difference_in_block(stored: str, present: str) -> int | None:
    """Return the index of the first step in which two digests differ; None if only the long hashes differ."""
    offsets = range(16, max(len(stored), len(present)), 3)
    return next(
        (
            (offset - 16) // 3
            for offset in offsets
            if stored[offset : offset + 3] != present[offset : offset + 3]
        ),
        None,
    )


def stored_steps(steps: list[Any], full: int = FULL_STEPS) -> dict[str, Any]:
    """Return the stored form of a sequence of steps: the first ones in full, and hashes of all."""
    return {
        "first": steps[:full],
        "blocks": [
            _block_digest(steps[start : start + BLOCK_STEPS]) for start in range(0, len(steps), BLOCK_STEPS)
        ],
    }


def first_difference(stored: dict[str, Any], present: dict[str, Any]) -> str:
    """Return a description of the first step that differs; empty if none does."""
    for number, (stored_step, present_step) in enumerate(
        zip(stored["first"], present["first"], strict=False)
    ):
        if stored_step != present_step:
            return f"step {number}: recorded {stored_step}, now {present_step}"
    for block_index, (stored_step, present_step) in enumerate(
        zip(stored["blocks"], present["blocks"], strict=False)
    ):
        if stored_step != present_step:
            first, start = _first_difference_in_block(stored_step, present_step), block_index * BLOCK_STEPS
            position = "a step" if first is None else f"step {start + first}"
            return f"{position} of those from {start} to {start + BLOCK_STEPS - 1} differs"
    return "" if stored == present else "the counts or the end differ"


def difference_from(name: str, present: dict[str, Any]) -> str:
    """Return a description of the first difference between a golden file and the present values, or ""."""
    return first_difference(read_json(name), json.loads(json.dumps(present)))


def write_json(path: Path, value: dict[str, Any]) -> None:
    """Write a JSON object with one line for each entry of its lists."""
    fields = []
    for key, entry in value.items():
        if isinstance(entry, list):
            text = "[\n" + ",\n".join("  " + json.dumps(item) for item in entry) + "\n ]"
        else:
            text = json.dumps(entry)
        fields.append(f" {json.dumps(key)}: {text}")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("{\n" + ",\n".join(fields) + "\n}\n")


def read_json(name: str) -> Any:
    """Return the JSON of a golden file."""
    return json.loads((FOLDER / name).read_text())
