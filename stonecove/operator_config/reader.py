"""The way in: an operator's file, checked whole against the schema, as records."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple

from stonecove.operator_config.evaluate import Evaluator, Scope, at_path, plain, settled
from stonecove.operator_config.grammar import OperatorError, Pos, Problem, parse
from stonecove.operator_config.records import Operator, operator_of
from stonecove.operator_config.values import (
    Bottom,
    Choice,
    ListValue,
    Notes,
    Scalar,
    Struct,
    Type,
    Value,
    unify,
)

SCHEMA = "schema.cue"
MOST_BYTES = 1 << 20


class Read(NamedTuple):
    """A file that was read: its records, and its value for those who ask where a setting comes from."""

    operator: Operator
    value: Value


def read(path: Path) -> Read:
    """Reads and checks a file; raises OperatorError with all that is wrong."""
    return read_text(text_of(path), str(path))


def text_of(path: Path) -> str:
    """A file's text; raises OperatorError for one that can't be read, or is none."""
    name = str(path)
    try:
        data = path.read_bytes()
    except OSError as error:
        raise OperatorError([Problem(Pos(name, 1), "", error.strerror or "can't be read")]) from None
    if len(data) > MOST_BYTES:
        raise OperatorError([Problem(Pos(name, 1), "", f"{len(data)} bytes, {MOST_BYTES} at most")])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise OperatorError([Problem(Pos(name, line), "", "not UTF-8")]) from None


def read_text(text: str, name: str) -> Read:
    """The same for a text that is at hand; raises OperatorError."""
    schema = resources.files("stonecove.operator_config").joinpath(SCHEMA).read_text()
    table, value = checked(text, name, schema, "#Operator", _check)
    return Read(operator_of(table), value)


def checked(
    text: str,
    name: str,
    schema_text: str,
    definition: str,
    check: Callable[[dict[str, Any], Value, Notes], None] | None = None,
) -> tuple[dict[str, Any], Value]:
    """The table and the value of a text that a definition of a schema passes; raises OperatorError.

    `check` looks for what one field alone can't show, and notes it.
    """
    given = parse(text, name)
    schema = parse(schema_text, SCHEMA)
    notes = Notes()
    evaluator = Evaluator(notes)
    wanted = next(one.value for one in schema.fields if one.name == definition)
    try:
        mine: Value = evaluator.struct(given, None, "")
        ours = evaluator.value(wanted, Scope(schema, None), "", True)
        value = unify(mine, ours, "", notes)
        table = plain(value, "", notes)
    except RecursionError:
        raise OperatorError([Problem(Pos(name, 1), "", "nested too deeply")]) from None
    if not notes.problems and check is not None:
        check(table, value, notes)
    if notes.problems:
        raise OperatorError(_sorted(notes.problems))
    return table, value


def _sorted(problems: list[Problem]) -> list[Problem]:
    """In the order of the file, each once; the schema's own places last."""
    once = dict.fromkeys(problems)
    return sorted(once, key=lambda one: (one.at.file == SCHEMA, one.at.line, one.at.column))


def _check(table: dict[str, object], value: Value, notes: Notes) -> None:
    """What one field alone can't show."""

    def fault(path: str, text: str) -> None:
        found = at_path(value, path)
        notes.add(found.at if found is not None else (), path, text)

    _check_fleet(table.get("fleet"), fault)
    swarm = table.get("swarm")
    if isinstance(swarm, dict) and swarm["answer"] * 2 > swarm["period"]:
        fault("swarm.answer", "is more than half of swarm.period: nobody else could be asked in time")
    sources = table["sources"]
    assert isinstance(sources, dict)
    zookeeper = sources.get("zookeeper")
    configuration = table.get("configuration")
    if isinstance(configuration, dict) and "path" in configuration:
        if zookeeper is None:
            fault("configuration.path", "needs sources.zookeeper, whose session follows it")
        elif configuration["path"] == zookeeper["path"]:
            fault("configuration.path", "is also that of the boxes, sources.zookeeper.path")
        if not configuration["settings"]:
            fault("configuration.path", "needs configuration.settings: true")
    if zookeeper is None:
        if "presence" in table:
            fault("presence", "needs sources.zookeeper, whose session keeps the node")
        return
    if zookeeper["rank"] == sources["changelog"]["rank"]:
        fault("sources.zookeeper.rank", "is also that of sources.changelog; one source is trusted more")
    for place, server in enumerate(zookeeper["servers"]):
        host, _, port = server.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
            good = 0 < int(port) < 65_536
        except ValueError:
            good = False
        if not good:
            fault(f"sources.zookeeper.servers[{place}]", f'"{server}" is no address')
    if zookeeper["back_off"]["first"] > zookeeper["back_off"]["longest"]:
        fault("sources.zookeeper.back_off.first", "is longer than back_off.longest")
    if zookeeper["flap"]["hold"] > zookeeper["flap"]["longest"]:
        fault("sources.zookeeper.flap.hold", "is longer than flap.longest")
    presence = table.get("presence")
    if isinstance(presence, dict) and presence["path"] == zookeeper["path"]:
        fault("presence.path", "is also that of the boxes, sources.zookeeper.path")


def _check_fleet(fleet: object, fault: Callable[[str, str], None]) -> None:
    """Names that can be folders, and addresses of one instance each."""
    if not isinstance(fleet, dict):
        return
    seen: dict[str, str] = {}
    for kind in ("instances", "groups"):
        for name, one in fleet.get(kind, {}).items():
            path = f"fleet.{kind}.{name}"
            if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}", name):
                fault(path, "is no name: letters, digits, - and _")
            listens = (
                [one["listen"]]
                if "listen" in one
                else [f"{one['host']}:{one['first_port'] + number}" for number in range(one["count"])]
            )
            for listen in listens:
                if int(listen.rpartition(":")[2]) > 65_535:
                    fault(path, f"{listen} is no address")
                elif listen in seen:
                    fault(path, f"{listen} is also that of {seen[listen]}")
                seen[listen] = path
    if not seen:
        fault("fleet", "names no instance")


def show(value: Value, indent: int = 0) -> list[str]:
    """The settled value, as a file would say it; a line each."""
    value = settled(value)
    pad = "\t" * indent
    if not isinstance(value, Struct):
        return [pad + brief(value)]
    lines = []
    for name, one in value.fields.items():
        if one.optional:
            continue
        inner = settled(one.value)
        if isinstance(inner, Struct):
            lines += [f"{pad}{name}: {{", *show(inner, indent + 1), f"{pad}}}"]
        else:
            lines.append(f"{pad}{name}: {brief(inner)}")
    return lines


def brief(value: Value) -> str:
    """A value on one line."""
    value = settled(value)
    if isinstance(value, ListValue):
        return f"[{', '.join(brief(item) for item in value.items)}]"
    if isinstance(value, Struct):
        inner = ", ".join(
            f"{name}: {brief(one.value)}" for name, one in value.fields.items() if not one.optional
        )
        return f"{{{inner}}}"
    return str(value)


def explain(value: Value, path: str) -> list[str] | None:
    """What holds at a path, and all places that say something of it; None if there is no such path."""
    found = at_path(value, path) if path else value
    if found is None:
        return None
    inner = settled(found)
    lines = [f"{path or '(all)'}: {brief(inner)}"]
    if isinstance(found, Choice):
        lines.append(f"  one of {found}; the default, as nothing else is said")
    if isinstance(inner, (Scalar, ListValue, Struct, Type, Bottom)):
        for place in {str(place): place for place in found.at + inner.at}.values():
            lines.append(f"  {'allowed by' if place.file == SCHEMA else 'given in'} {place}")
    return lines
