"""Read and write golden data: what the program wrote or answered at one commit, and must go on to.

Byte strings stand in JSON as `{"text": ...}` where they are printable UTF-8, as `{"repeated": ...,
"times": ...}` where they are one byte many times, else as `{"hex": ...}`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

Meaning = dict[str, Any]
Named = tuple[str, Meaning]
ROOT = Path(__file__).parent / "golden"


def packed(data: bytes) -> dict[str, Any]:
    """Return a byte string as a JSON value that a person can read where that is possible."""
    if len(data) > 100 and data == data[:1] * len(data):
        return {"repeated": data[:1].decode(), "times": len(data)}
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return {"hex": data.hex()}
    return {"text": text} if text.replace("\n", "").isprintable() else {"hex": data.hex()}


def unpacked(value: dict[str, Any]) -> bytes:
    """Return the byte string that `packed` wrote."""
    if "repeated" in value:
        return str(value["repeated"]).encode() * int(value["times"])
    return bytes.fromhex(value["hex"]) if "hex" in value else str(value["text"]).encode()


def plain(value: Any) -> Any:
    """Return a value as it is after JSON: tuples become lists, keys become text."""
    return json.loads(json.dumps(value))


def key_of(table: dict[str, Any], value: object) -> str:
    """Return the key under which a table has that very value."""
    return next(key for key, one in table.items() if one is value)


def reason_of(error: Exception) -> str:
    """Return the text without what the JSON library says, which differs from version to version."""
    before, sign, _ = str(error).partition("JSON: ")
    return before + sign.rstrip(": ")


def json_with(data: bytes, **changes: Any) -> bytes:
    """Return a JSON object with other fields; a field given as None is left out."""
    table = {**json.loads(data), **changes}
    return json.dumps({name: value for name, value in table.items() if value is not None}).encode()


NO_TABLES = (
    ("empty", b""),
    ("no JSON", b"{"),
    ("no UTF-8", b"\xff\xfe"),
    ("a list", b"[]"),
    ("null", b"null"),
    ("nested too deep", b"[" * 4000),
)


class Folder:
    """The golden files of one area."""

    def __init__(self, area: str) -> None:
        self.path = ROOT / area

    def read(self, name: str) -> Any:
        """Return the JSON value of a file."""
        return json.loads((self.path / name).read_text())

    def write(self, name: str, value: Any) -> None:
        """Write a JSON value."""
        (self.path / name).write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n")

    def read_bytes(self, name: str) -> bytes:
        """Return the bytes of a file."""
        return (self.path / name).read_bytes()

    def write_bytes(self, name: str, data: bytes) -> None:
        """Write the bytes of a file."""
        (self.path / name).write_bytes(data)


@dataclass(frozen=True)
class Format:
    """One stored or transmitted format: how the program writes it, and what it reads from it.

    `samples` are written and read back, `inputs` are bytes that the program reads and never writes, `broken`
    are bytes that it rejects. `encode` or `decode` is None for a format that goes one way only. `decode`
    raises `error` for what it rejects; `reason` makes of the error what the golden data says of it.
    """

    name: str
    encode: Callable[[Meaning], bytes] | None
    decode: Callable[[bytes], Meaning] | None
    samples: tuple[Named, ...] = ()
    inputs: tuple[tuple[str, bytes], ...] = ()
    broken: tuple[tuple[str, bytes], ...] = ()
    unwritable: tuple[Named, ...] = ()
    error: type[Exception] = ValueError
    reason: Callable[[Exception], str] = str

    def rejection(self, work: Callable[[], object]) -> str:
        """Return why the program rejects something; "accepted" if it does not."""
        try:
            work()
        except self.error as error:
            return self.reason(error)
        return "accepted"

    def record(self, folder: Folder) -> None:
        """Write the golden file from the samples."""
        encode, decode = self.encode, self.decode
        table: dict[str, Any] = {}
        if encode is not None:
            table["written"] = [
                {"name": name, "meaning": meaning, "bytes": packed(encode(meaning))}
                for name, meaning in self.samples
            ]
            table["unwritable"] = [
                {"name": name, "meaning": meaning, "reason": self._unwritable(meaning)}
                for name, meaning in self.unwritable
            ]
        if decode is not None:
            read = [(entry["name"], unpacked(entry["bytes"])) for entry in table.get("written", ())] + list(
                self.inputs
            )
            table["read"] = [
                {"name": name, "bytes": packed(data), "meaning": decode(data)} for name, data in read
            ]
            table["rejected"] = [
                {"name": name, "bytes": packed(data), "reason": self._rejected(data)}
                for name, data in self.broken
            ]
        for entry in (*table.get("rejected", ()), *table.get("unwritable", ())):
            assert entry["reason"] != "accepted", f"{self.name}: {entry['name']} is accepted"
        folder.write(f"{self.name}.json", {part: entries for part, entries in table.items() if entries})

    def _unwritable(self, meaning: Meaning) -> str:
        assert self.encode is not None
        encode = self.encode
        return self.rejection(lambda: encode(meaning))

    def _rejected(self, data: bytes) -> str:
        assert self.decode is not None
        decode = self.decode
        return self.rejection(lambda: decode(data))

    def check(self, folder: Folder) -> None:
        """Assert that the program writes, reads and rejects what the golden file says."""
        table = folder.read(f"{self.name}.json")
        assert table, f"{self.name}: no golden data"
        assert "written" not in table or self.encode is not None
        assert "read" not in table or self.decode is not None
        for entry in table.get("written", ()):
            assert self.encode is not None
            found = packed(self.encode(entry["meaning"]))
            assert found == entry["bytes"], f"{self.name}: {entry['name']}"
        for entry in table.get("unwritable", ()):
            assert self._unwritable(entry["meaning"]) == entry["reason"], f"{self.name}: {entry['name']}"
        for entry in table.get("read", ()):
            assert self.decode is not None
            meaning = plain(self.decode(unpacked(entry["bytes"])))
            assert meaning == entry["meaning"], f"{self.name}: {entry['name']}"
        for entry in table.get("rejected", ()):
            found_reason = self._rejected(unpacked(entry["bytes"]))
            assert found_reason == entry["reason"], f"{self.name}: {entry['name']}"


@dataclass(frozen=True)
class Replay:
    """A scripted exchange: golden inputs are played to the program, and what it answers is compared.

    `script` gives the inputs, `play` what the program does for each; both are lists of plain JSON values.
    """

    name: str
    script: Callable[[], list[Meaning]]
    play: Callable[[list[Meaning]], list[Any]]

    def record(self, folder: Folder) -> None:
        """Write the golden file from the script."""
        inputs = plain(self.script())
        outputs = self.play(inputs)
        steps = [{"input": one, "output": other} for one, other in zip(inputs, outputs, strict=True)]
        folder.write(f"{self.name}.json", steps)

    def check(self, folder: Folder) -> None:
        """Assert that the program answers each golden input as the golden file says."""
        steps = folder.read(f"{self.name}.json")
        assert steps, f"{self.name}: no golden data"
        found = self.play([step["input"] for step in steps])
        assert len(found) == len(steps)
        for number, (output, step) in enumerate(zip(found, steps, strict=True)):
            assert plain(output) == step["output"], f"{self.name}: step {number}: {step['input']}"


@dataclass(frozen=True)
class Snapshot:
    """A value that the program comes to by itself, from inputs that stand in the code beside it."""

    name: str
    make: Callable[[], Any]

    def record(self, folder: Folder) -> None:
        """Write the golden file."""
        folder.write(f"{self.name}.json", plain(self.make()))

    def check(self, folder: Folder) -> None:
        """Assert that the program comes to the same value."""
        assert plain(self.make()) == folder.read(f"{self.name}.json"), self.name


class Case(Protocol):
    """What a test module checks and records."""

    @property
    def name(self) -> str:
        """The name of its file, without the suffix."""

    def record(self, folder: Folder) -> None:
        """Write the golden files."""

    def check(self, folder: Folder) -> None:
        """Assert that the program does as the golden files say."""


def main(folder: Folder, cases: tuple[Case, ...]) -> None:
    """Record the golden files of an area: the program of `python tests/test_golden_AREA.py --record`."""
    if sys.argv[1:] != ["--record"]:
        sys.exit(f"usage: python {sys.argv[0]} --record")
    folder.path.mkdir(parents=True, exist_ok=True)
    for case in cases:
        case.record(folder)
