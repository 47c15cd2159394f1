"""Entry point: read an operator file, validate it against the schema and return its records.

Values are also formatted and explained here, for the `config` commands.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple

from stonecove.operator_config.evaluate import Evaluator, Scope, resolve_default, to_plain, value_at_path
from stonecove.operator_config.grammar import OperatorError, Pos, Problem, parse
from stonecove.operator_config.records import Operator, operator_from_table
from stonecove.operator_config.values import (
    Bottom,
    Diagnostics,
    DisjunctionValue,
    ListValue,
    Scalar,
    Struct,
    Type,
    Value,
    unify,
)

SCHEMA_FILE = "schema.cue"
MAX_FILE_BYTES = 1 << 20


class LoadedFile(NamedTuple):
    """A valid operator file: its records, and its value, which holds the source position of each setting."""

    operator: Operator
    value: Value


def read(path: Path) -> LoadedFile:
    """Read and validate an operator file; raises OperatorError with all problems."""
    return read_text(read_source_text(path), str(path))


def read_source_text(path: Path) -> str:
    """Return the text of a file; raises OperatorError if it is unreadable, too large or not UTF-8."""
    name = str(path)
    try:
        data = path.read_bytes()
    except OSError as error:
        raise OperatorError([Problem(Pos(name, 1), "", error.strerror or "can't be read")]) from None
    if len(data) > MAX_FILE_BYTES:
        raise OperatorError([Problem(Pos(name, 1), "", f"{len(data)} bytes, {MAX_FILE_BYTES} at most")])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise OperatorError([Problem(Pos(name, line), "", "not UTF-8")]) from None


def read_text(text: str, name: str) -> LoadedFile:
    """Validate the text of an operator file; raises OperatorError with all problems."""
    schema = resources.files("stonecove.operator_config").joinpath(SCHEMA_FILE).read_text()
    table, value = validate_against_schema(text, name, schema, "#Operator", _check_constraints)
    return LoadedFile(operator_from_table(table), value)


def validate_against_schema(
    text: str,
    name: str,
    schema_text: str,
    definition: str,
    check: Callable[[dict[str, Any], Value, Diagnostics], None] | None = None,
) -> tuple[dict[str, Any], Value]:
    """Return a text unified with a definition of a schema, as a plain table and as a value.

    `check` reports violations of constraints between fields; it runs only if unification succeeds. Raises
    OperatorError with all problems.
    """
    source = parse(text, name)
    schema = parse(schema_text, SCHEMA_FILE)
    diagnostics = Diagnostics()
    evaluator = Evaluator(diagnostics)
    definition_expr = next(decl.value for decl in schema.fields if decl.name == definition)
    try:
        source_value: Value = evaluator.struct(source, None, "")
        schema_value = evaluator.value(definition_expr, Scope(schema, None), "", True)
        value = unify(source_value, schema_value, "", diagnostics)
        table = to_plain(value, "", diagnostics)
    except RecursionError:
        raise OperatorError([Problem(Pos(name, 1), "", "nested too deeply")]) from None
    if not diagnostics.problems and check is not None:
        check(table, value, diagnostics)
    if diagnostics.problems:
        raise OperatorError(_sort_unique(diagnostics.problems))
    return table, value


def _sort_unique(problems: list[Problem]) -> list[Problem]:
    """Return the problems without duplicates, in source order, those at schema positions last."""
    unique = dict.fromkeys(problems)
    return sorted(
        unique, key=lambda problem: (problem.at.file == SCHEMA_FILE, problem.at.line, problem.at.column)
    )


def _check_constraints(table: dict[str, object], value: Value, diagnostics: Diagnostics) -> None:
    """Check the constraints between fields, which the schema cannot express."""

    def report(path: str, text: str) -> None:
        located = value_at_path(value, path)
        diagnostics.add(located.at if located is not None else (), path, text)

    _check_fleet_constraints(table.get("fleet"), report)
    swarm = table.get("swarm")
    if isinstance(swarm, dict) and swarm["answer"] * 2 > swarm["period"]:
        report("swarm.answer", "is more than half of swarm.period: nobody else could be asked in time")
    sources = table["sources"]
    assert isinstance(sources, dict)
    zookeeper = sources.get("zookeeper")
    configuration = table.get("configuration")
    if isinstance(configuration, dict) and "path" in configuration:
        if zookeeper is None:
            report("configuration.path", "needs sources.zookeeper, whose session follows it")
        elif configuration["path"] == zookeeper["path"]:
            report("configuration.path", "is also that of the boxes, sources.zookeeper.path")
        if not configuration["settings"]:
            report("configuration.path", "needs configuration.settings: true")
    if zookeeper is None:
        if "presence" in table:
            report("presence", "needs sources.zookeeper, whose session keeps the node")
        return
    if zookeeper["rank"] == sources["changelog"]["rank"]:
        report("sources.zookeeper.rank", "is also that of sources.changelog; one source is trusted more")
    for index, server in enumerate(zookeeper["servers"]):
        host, _, port = server.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
            valid = 0 < int(port) < 65_536
        except ValueError:
            valid = False
        if not valid:
            report(f"sources.zookeeper.servers[{index}]", f'"{server}" is no address')
    if zookeeper["back_off"]["first"] > zookeeper["back_off"]["longest"]:
        report("sources.zookeeper.back_off.first", "is longer than back_off.longest")
    if zookeeper["flap"]["hold"] > zookeeper["flap"]["longest"]:
        report("sources.zookeeper.flap.hold", "is longer than flap.longest")
    presence = table.get("presence")
    if isinstance(presence, dict) and presence["path"] == zookeeper["path"]:
        report("presence.path", "is also that of the boxes, sources.zookeeper.path")


def _check_fleet_constraints(fleet: object, report: Callable[[str, str], None]) -> None:
    """Check that instance names are valid folder names, and that no two instances share an address."""
    if not isinstance(fleet, dict):
        return
    path_by_address: dict[str, str] = {}
    for kind in ("instances", "groups"):
        for name, entry in fleet.get(kind, {}).items():
            path = f"fleet.{kind}.{name}"
            if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}", name):
                report(path, "is no name: letters, digits, - and _")
            addresses = (
                [entry["listen"]]
                if "listen" in entry
                else [f"{entry['host']}:{entry['first_port'] + number}" for number in range(entry["count"])]
            )
            for address in addresses:
                if int(address.rpartition(":")[2]) > 65_535:
                    report(path, f"{address} is no address")
                elif address in path_by_address:
                    report(path, f"{address} is also that of {path_by_address[address]}")
                path_by_address[address] = path
    if not path_by_address:
        report("fleet", "names no instance")


def show(value: Value, indent: int = 0) -> list[str]:
    """Return the source lines of a value, with defaults resolved; parsing them gives the same records."""
    value = resolve_default(value)
    indentation = "\t" * indent
    if not isinstance(value, Struct):
        return [indentation + format_inline(value)]
    lines = []
    for name, field in value.fields.items():
        if field.optional:
            continue
        resolved = resolve_default(field.value)
        if isinstance(resolved, Struct):
            lines += [f"{indentation}{name}: {{", *show(resolved, indent + 1), f"{indentation}}}"]
        else:
            lines.append(f"{indentation}{name}: {format_inline(resolved)}")
    return lines


def format_inline(value: Value) -> str:
    """Return a value on one line, with defaults resolved."""
    value = resolve_default(value)
    if isinstance(value, ListValue):
        return f"[{', '.join(format_inline(item) for item in value.items)}]"
    if isinstance(value, Struct):
        inner = ", ".join(
            f"{name}: {format_inline(field.value)}"
            for name, field in value.fields.items()
            if not field.optional
        )
        return f"{{{inner}}}"
    return str(value)


def explain(value: Value, path: str) -> list[str] | None:
    """Return lines with the value at a path and its source positions, None if there is no such path."""
    located = value_at_path(value, path) if path else value
    if located is None:
        return None
    resolved = resolve_default(located)
    lines = [f"{path or '(all)'}: {format_inline(resolved)}"]
    if isinstance(located, DisjunctionValue):
        lines.append(f"  one of {located}; the default, as nothing else is said")
    if isinstance(resolved, (Scalar, ListValue, Struct, Type, Bottom)):
        for pos in {str(pos): pos for pos in located.at + resolved.at}.values():
            lines.append(f"  {'allowed by' if pos.file == SCHEMA_FILE else 'given in'} {pos}")
    return lines
