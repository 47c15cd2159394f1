"""From syntax to values, and from values to plain tables."""

from __future__ import annotations

import re
from typing import Any

from stonecove.operator_config.grammar import (
    Bounded,
    Conjunction,
    Disjunction,
    Expr,
    ListOf,
    Literal,
    Pos,
    Problem,
    Reference,
    StructOf,
)
from stonecove.operator_config.values import (
    KINDS,
    NUMBERS,
    Bottom,
    Bound,
    Choice,
    FieldValue,
    ListValue,
    Notes,
    Scalar,
    Struct,
    Type,
    Value,
    join,
    top,
    unify,
)

_TYPES = {
    "string": frozenset(("string",)),
    "int": frozenset(("int",)),
    "number": NUMBERS,
    "float": frozenset(("float",)),
    "bool": frozenset(("bool",)),
    "duration": frozenset(("duration",)),
    "size": frozenset(("size",)),
}
_WORDS: dict[str, bool | None] = {"true": True, "false": False, "null": None}
_DURATIONS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
_SIZES = {"B": 1, "KB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_QUANTITY = re.compile(r"(-?[0-9][0-9_]*(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?)([A-Za-z]*)")


class Scope:
    """A struct in whose braces a name is looked up, and the one around it."""

    def __init__(self, struct: StructOf, outer: Scope | None) -> None:
        self.struct = struct
        self.outer = outer

    def find(self, name: str) -> tuple[Scope, list[Expr]] | None:
        """The nearest struct with a field of that name, and what is written for it."""
        scope: Scope | None = self
        while scope is not None:
            found = [one.value for one in scope.struct.fields if one.name == name]
            if found:
                return scope, found
            scope = scope.outer
        return None


class Evaluator:
    """Evaluates expressions; each name is looked up in the file in which it is written."""

    def __init__(self, notes: Notes) -> None:
        self._notes = notes
        self._under_way: list[tuple[int, str]] = []

    def value(self, expr: Expr, scope: Scope, path: str, closed: bool = False) -> Value:
        """The value of an expression; `closed`: as the value of a definition."""
        match expr:
            case Literal():
                return self._literal(expr, path)
            case Reference():
                return self._reference(expr, scope, path)
            case Bounded():
                return self._bounded(expr, scope, path)
            case Conjunction(parts=parts):
                found = self.value(parts[0], scope, path, closed)
                for part in parts[1:]:
                    found = unify(found, self.value(part, scope, path, closed), path, self._notes)
                return found
            case Disjunction(parts=alternatives, at=at):
                flat: list[tuple[bool, Value]] = []
                for mark, part in alternatives:
                    one = self.value(part, scope, path, closed)
                    flat += (
                        [(mark or inner, value) for inner, value in one.parts]
                        if isinstance(one, Choice)
                        else [(mark, one)]
                    )
                return Choice(tuple(flat), (at,))
            case ListOf(items=items, rest=rest, open=is_open, at=at):
                values = tuple(
                    self.value(item, scope, f"{path}[{place}]", closed) for place, item in enumerate(items)
                )
                more = (
                    self.value(rest, scope, f"{path}[]", closed)
                    if rest is not None
                    else (top(at) if is_open else None)
                )
                return ListValue(values, more, (at,))
            case StructOf():
                return self.struct(expr, scope, path, closed)

    def struct(self, struct: StructOf, outer: Scope | None, path: str, closed: bool = False) -> Struct:
        """The value of a struct; definitions in it are there to be named and are no fields."""
        scope = Scope(struct, outer)
        fields: dict[str, FieldValue] = {}
        for one in struct.fields:
            if one.name.startswith("#"):
                self.value(one.value, scope, join(path, one.name), True)  # told even if nobody names it
                continue
            value = self.value(one.value, scope, join(path, one.name), closed)
            before = fields.get(one.name)
            if before is not None:
                value = unify(before.value, value, join(path, one.name), self._notes)
            fields[one.name] = FieldValue(value, one.optional and (before is None or before.optional), one.at)
        patterns = []
        for label, pattern in struct.patterns:
            kind = self.value(label, scope, f"{path}[]")
            if not isinstance(kind, Type) or kind.kinds != _TYPES["string"] or kind.bounds:
                self._notes.add(kind.at, path, "only [string] may stand for any name")
            patterns.append(self.value(pattern, scope, f"{path}[]", closed))
        return Struct(fields, tuple(patterns), closed and not struct.open, (struct.at,))

    def _literal(self, expr: Literal, path: str) -> Value:
        if not expr.quantity:
            return Scalar("string", expr.value, (expr.at,))
        found = _QUANTITY.fullmatch(expr.value)
        assert found is not None
        digits, unit = found[1].replace("_", ""), found[2]
        whole = re.fullmatch(r"-?[0-9]+", digits) is not None
        if unit in _DURATIONS:
            return Scalar("duration", float(digits) * _DURATIONS[unit], (expr.at,))
        if unit in _SIZES:
            return Scalar("size", round(float(digits) * _SIZES[unit]), (expr.at,))
        if whole:
            return Scalar("int", int(digits), (expr.at,))
        return Scalar("float", float(digits), (expr.at,))

    def _bounded(self, expr: Bounded, scope: Scope, path: str) -> Value:
        operand = self.value(expr.operand, scope, path)
        if not isinstance(operand, Scalar):
            return self._notes.add((expr.at,), path, f"{expr.operator} needs one value, not {operand}")
        operand = Scalar(operand.kind, operand.value, (expr.at,))
        kinds = NUMBERS if operand.kind in NUMBERS else frozenset((operand.kind,))
        if expr.operator in ("=~", "!~"):
            try:
                re.compile(str(operand.value))
            except re.error as error:
                return self._notes.add((expr.at,), path, f"no regular expression: {error}")
            if operand.kind != "string":
                return self._notes.add((expr.at,), path, f"{expr.operator} needs a text, not {operand}")
        elif expr.operator == "!=":
            kinds = KINDS
        elif operand.kind in ("bool", "null"):
            return self._notes.add((expr.at,), path, f"{operand} has no order")
        return Type(kinds, (Bound(expr.operator, operand),), (expr.at,))

    def _reference(self, expr: Reference, scope: Scope, path: str) -> Value:
        first = expr.names[0]
        found = scope.find(first)
        if found is None:
            return self._builtin(expr, path)
        where, values = found
        key = (id(where.struct), first)
        if key in self._under_way:
            return self._notes.add((expr.at,), path, f"{first} refers to itself")
        self._under_way.append(key)
        try:
            value = self.value(values[0], where, path, first.startswith("#"))
            for more in values[1:]:
                value = unify(value, self.value(more, where, path, first.startswith("#")), path, self._notes)
        finally:
            self._under_way.pop()
        for name in expr.names[1:]:
            if not isinstance(value, Struct) or name not in value.fields:
                return self._notes.add((expr.at,), path, f"{'.'.join(expr.names)}: no {name} there")
            value = value.fields[name].value
        return value

    def _builtin(self, expr: Reference, path: str) -> Value:
        name = ".".join(expr.names)
        if name == "_":
            return top(expr.at)
        if name in _WORDS:
            return Scalar("null" if _WORDS[name] is None else "bool", _WORDS[name], (expr.at,))
        if name in _TYPES:
            return Type(_TYPES[name], (), (expr.at,), name)
        return self._notes.add((expr.at,), path, f"{name} is not known")


def settled(value: Value) -> Value:
    """The default of a disjunction, where it has just one; all else as it is."""
    if isinstance(value, Choice):
        marked = [part for mark, part in value.parts if mark]
        if len(marked) == 1:
            return settled(marked[0])
        if len(value.parts) == 1:
            return settled(value.parts[0][1])
    return value


def plain(value: Value, path: str, notes: Notes) -> Any:
    """Plain tables, lists and scalars; what is not decided or is missing is noted."""
    value = settled(value)
    if isinstance(value, Scalar):
        return value.value
    if isinstance(value, Struct):
        return {
            name: plain(one.value, join(path, name), notes)
            for name, one in value.fields.items()
            if not one.optional
        }
    if isinstance(value, ListValue):
        return [plain(item, f"{path}[{place}]", notes) for place, item in enumerate(value.items)]
    if isinstance(value, Choice):
        notes.add(value.at, path, f"not decided: {value}")
    elif isinstance(value, Type):
        notes.add(value.at, path, f"missing: {value}")
    return None


def at_path(value: Value, path: str) -> Value | None:
    """The value at a path such as `sources.zookeeper.servers[0]`; None if there is none."""
    for name in re.findall(r"[^.\[\]]+", path):
        value = settled(value)
        if isinstance(value, Struct) and name in value.fields:
            value = value.fields[name].value
        elif isinstance(value, ListValue) and name.isdigit() and int(name) < len(value.items):
            value = value.items[int(name)]
        else:
            return None
    return value


__all__ = ["Bottom", "Evaluator", "Pos", "Problem", "Scope", "at_path", "plain", "settled"]
