"""Storage of recordings: the first steps in full, hashes of all, and a report of differences."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "golden" / "decisions"
FULL_STEPS = 200  # steps that are stored in full; of the others, a hash
BLOCK = 50  # steps that share one long hash


def _hash(value: Any) -> str:
    return hashlib.sha256(json.dumps(value).encode()).hexdigest()


def _block(lines: list[Any]) -> str:
    """Return 16 hex digits of the hash of all lines, and 3 of each line, to locate a difference."""
    return _hash(lines)[:16] + "".join(_hash(line)[:3] for line in lines)


def _first_in_block(was: str, now: str) -> int | None:
    """Return the index of the first line in which two blocks differ; None if only the long hash does."""
    places = range(16, max(len(was), len(now)), 3)
    return next(((at - 16) // 3 for at in places if was[at : at + 3] != now[at : at + 3]), None)


def stored_lines(lines: list[Any], full: int = FULL_STEPS) -> dict[str, Any]:
    """Return the stored form of a sequence of steps: the first ones in full, and hashes of all."""
    return {
        "first": lines[:full],
        "blocks": [_block(lines[start : start + BLOCK]) for start in range(0, len(lines), BLOCK)],
    }


def first_difference(stored: dict[str, Any], present: dict[str, Any]) -> str:
    """Return a description of the first step that differs; empty if none does."""
    for number, (was, now) in enumerate(zip(stored["first"], present["first"], strict=False)):
        if was != now:
            return f"step {number}: recorded {was}, now {now}"
    for place, (was, now) in enumerate(zip(stored["blocks"], present["blocks"], strict=False)):
        if was != now:
            first, start = _first_in_block(was, now), place * BLOCK
            at = "a step" if first is None else f"step {start + first}"
            return f"{at} of those from {start} to {start + BLOCK - 1} differs"
    return "" if stored == present else "the counts or the end differ"


def difference_from(name: str, present: dict[str, Any]) -> str:
    """Return a description of the first difference between a golden file and the present values, or ""."""
    return first_difference(read_json(name), json.loads(json.dumps(present)))


def write_json(path: Path, value: dict[str, Any]) -> None:
    """Write a JSON object with one line for each entry of its lists."""
    parts = []
    for key, entry in value.items():
        if isinstance(entry, list):
            text = "[\n" + ",\n".join("  " + json.dumps(one) for one in entry) + "\n ]"
        else:
            text = json.dumps(entry)
        parts.append(f" {json.dumps(key)}: {text}")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("{\n" + ",\n".join(parts) + "\n}\n")


def read_json(name: str) -> Any:
    """Return the JSON of a golden file."""
    return json.loads((FOLDER / name).read_text())
