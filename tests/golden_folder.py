"""Reads and writes golden data: recorded output of the program, which it must still produce.

A byte string is `{"text": ...}` in JSON if it is printable UTF-8, `{"repeated": ..., "times": ...}` if it
repeats one byte more than 100 times, and `{"hex": ...}` otherwise.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

Meaning = dict[str, Any]
NamedMeaning = tuple[str, Meaning]
ROOT = Path(__file__).parent / "golden"


def bytes_to_json(data: bytes) -> dict[str, Any]:
    """Return a byte string as a JSON value, in a readable form if it has one."""
    if len(data) > 100 and data == data[:1] * len(data):
        return {"repeated": data[:1].decode(), "times": len(data)}
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return {"hex": data.hex()}
    return {"text": text} if text.replace("\n", "").isprintable() else {"hex": data.hex()}


def bytes_from_json(value: dict[str, Any]) -> bytes:
    """Return the byte string from a value that `bytes_to_json` returned."""
    if "repeated" in value:
        return str(value["repeated"]).encode() * int(value["times"])
    return bytes.fromhex(value["hex"]) if "hex" in value else str(value["text"]).encode()


def json_round_trip(value: Any) -> Any:
    """Return a value as JSON gives it back: tuples become lists, keys become text."""
    return json.loads(json.dumps(value))


def key_of(table: dict[str, Any], value: object) -> str:
    """Return the key of a value in a table, compared by identity."""
    return next(key for key, entry in table.items() if entry is value)


def reason_without_json_error(error: Exception) -> str:
    """Return the text of an error without that of the JSON library, which differs between Python versions."""
    before, separator, _ = str(error).partition("JSON: ")
    return before + separator.rstrip(": ")


def json_with(data: bytes, **changes: Any) -> bytes:
    """Return a JSON object with changed fields; a field that is changed to None is removed."""
    table = {**json.loads(data), **changes}
    return json.dumps({name: value for name, value in table.items() if value is not None}).encode()


NOT_JSON_OBJECTS = (
    ("empty", b""),
    ("no JSON", b"{"),
    ("no UTF-8", b"\xff\xfe"),
    ("a list", b"[]"),
    ("null", b"null"),
    ("nested too deep", b"[" * 4000),
)


class GoldenFolder:
    """The golden files of one area, in their directory."""

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
    """One stored or transmitted format, with the functions that encode and decode it.

    `samples` are encoded and decoded, `inputs` are bytes that the program reads but never writes, `broken`
    are bytes that it rejects, and `unwritable` are values that it refuses to encode. `encode` or `decode` is
    None for a format that the program only reads or only writes. Both raise `error` for what they reject;
    `reason` returns the text of the error for the golden data.
    """

    name: str
    encode: Callable[[Meaning], bytes] | None
    decode: Callable[[bytes], Meaning] | None
    samples: tuple[NamedMeaning, ...] = ()
    inputs: tuple[tuple[str, bytes], ...] = ()
    broken: tuple[tuple[str, bytes], ...] = ()
    unwritable: tuple[NamedMeaning, ...] = ()
    error: type[Exception] = ValueError
    reason: Callable[[Exception], str] = str

    def rejection(self, operation: Callable[[], object]) -> str:
        """Return the reason for which an operation is rejected; "accepted" if it is not."""
        try:
            operation()
        except self.error as error:
            return self.reason(error)
        return "accepted"

    def record(self, folder: GoldenFolder) -> None:
        """Write the golden file from the samples and inputs."""
        encode, decode = self.encode, self.decode
        table: dict[str, Any] = {}
        if encode is not None:
            table["written"] = [
                {"name": name, "meaning": meaning, "bytes": bytes_to_json(encode(meaning))}
                for name, meaning in self.samples
            ]
            table["unwritable"] = [
                {"name": name, "meaning": meaning, "reason": self._encode_rejection(meaning)}
                for name, meaning in self.unwritable
            ]
        if decode is not None:
            read = [
                (entry["name"], bytes_from_json(entry["bytes"])) for entry in table.get("written", ())
            ] + list(self.inputs)
            table["read"] = [
                {"name": name, "bytes": bytes_to_json(data), "meaning": decode(data)} for name, data in read
            ]
            table["rejected"] = [
                {"name": name, "bytes": bytes_to_json(data), "reason": self._decode_rejection(data)}
                for name, data in self.broken
            ]
        for entry in (*table.get("rejected", ()), *table.get("unwritable", ())):
            assert entry["reason"] != "accepted", f"{self.name}: {entry['name']} is accepted"
        folder.write(f"{self.name}.json", {part: entries for part, entries in table.items() if entries})

    def _encode_rejection(self, meaning: Meaning) -> str:
        assert self.encode is not None
        encode = self.encode
        return self.rejection(lambda: encode(meaning))

    def _decode_rejection(self, data: bytes) -> str:
        assert self.decode is not None
        decode = self.decode
        return self.rejection(lambda: decode(data))

    def check(self, folder: GoldenFolder) -> None:
        """Assert that the program encodes, decodes and rejects as in the golden file."""
        table = folder.read(f"{self.name}.json")
        assert table, f"{self.name}: no golden data"
        assert "written" not in table or self.encode is not None
        assert "read" not in table or self.decode is not None
        for entry in table.get("written", ()):
            assert self.encode is not None
            found = bytes_to_json(self.encode(entry["meaning"]))
            assert found == entry["bytes"], f"{self.name}: {entry['name']}"
        for entry in table.get("unwritable", ()):
            assert self._encode_rejection(entry["meaning"]) == entry["reason"], (
                f"{self.name}: {entry['name']}"
            )
        for entry in table.get("read", ()):
            assert self.decode is not None
            meaning = json_round_trip(self.decode(bytes_from_json(entry["bytes"])))
            assert meaning == entry["meaning"], f"{self.name}: {entry['name']}"
        for entry in table.get("rejected", ()):
            found_reason = self._decode_rejection(bytes_from_json(entry["bytes"]))
            assert found_reason == entry["reason"], f"{self.name}: {entry['name']}"


@dataclass(frozen=True)
class Replay:
    """A scripted exchange, whose recorded inputs are replayed to compare the outputs of the program.

    `script` returns the inputs, `play` the output for each of them; both are lists of JSON values.
    """

    name: str
    script: Callable[[], list[Meaning]]
    play: Callable[[list[Meaning]], list[Any]]

    def record(self, folder: GoldenFolder) -> None:
        """Write the golden file from the script."""
        inputs = json_round_trip(self.script())
        outputs = self.play(inputs)
        steps = [{"input": step, "output": output} for step, output in zip(inputs, outputs, strict=True)]
        folder.write(f"{self.name}.json", steps)

    def check(self, folder: GoldenFolder) -> None:
        """Assert that the program gives the recorded output for each recorded input."""
        steps = folder.read(f"{self.name}.json")
        assert steps, f"{self.name}: no golden data"
        found = self.play([step["input"] for step in steps])
        assert len(found) == len(steps)
        for number, (output, step) in enumerate(zip(found, steps, strict=True)):
            assert json_round_trip(output) == step["output"], f"{self.name}: step {number}: {step['input']}"


@dataclass(frozen=True)
class Snapshot:
    """A value that the program computes from inputs in the test code."""

    name: str
    make: Callable[[], Any]

    def record(self, folder: GoldenFolder) -> None:
        """Write the golden file."""
        folder.write(f"{self.name}.json", json_round_trip(self.make()))

    def check(self, folder: GoldenFolder) -> None:
        """Assert that the program computes the recorded value."""
        assert json_round_trip(self.make()) == folder.read(f"{self.name}.json"), self.name


class Case(Protocol):
    """A case that a test module checks and records."""

    @property
    def name(self) -> str:
        """Return the name of its golden file, without the suffix."""

    def record(self, folder: GoldenFolder) -> None:
        """Write the golden files."""

    def check(self, folder: GoldenFolder) -> None:
        """Assert that the program still produces what the golden files record."""


def main(folder: GoldenFolder, cases: tuple[Case, ...]) -> None:
    """Record the golden files of an area; this is run by `python tests/test_golden_AREA.py --record`."""
    if sys.argv[1:] != ["--record"]:
        sys.exit(f"usage: python {sys.argv[0]} --record")
    folder.path.mkdir(parents=True, exist_ok=True)
    for case in cases:
        case.record(folder)
