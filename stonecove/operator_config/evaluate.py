"""Evaluation of syntax trees to values, and conversion of values to plain Python objects."""

from __future__ import annotations

import re
from typing import Any

from stonecove.operator_config.grammar import (
    BoundExpr,
    Conjunction,
    Disjunction,
    Expr,
    ListExpr,
    Literal,
    Pos,
    Problem,
    Reference,
    StructExpr,
)
from stonecove.operator_config.values import (
    KINDS,
    NUMBERS,
    Bottom,
    Bound,
    Diagnostics,
    DisjunctionValue,
    FieldValue,
    ListValue,
    Scalar,
    Struct,
    Type,
    Value,
    join_path,
    top,
    unify,
)

_TYPE_KINDS = {
    "string": frozenset(("string",)),
    "int": frozenset(("int",)),
    "number": NUMBERS,
    "float": frozenset(("float",)),
    "bool": frozenset(("bool",)),
    "duration": frozenset(("duration",)),
    "size": frozenset(("size",)),
}
_KEYWORDS: dict[str, bool | None] = {"true": True, "false": False, "null": None}
_DURATION_UNITS_MS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
_SIZE_UNITS_BYTES = {
    "B": 1,
    "KB": 1000,
    "MB": 1000**2,
    "GB": 1000**3,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
_QUANTITY = re.compile(r"(-?[0-9][0-9_]*(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?)([A-Za-z]*)")


class Scope:
    """A lexical scope: the struct whose fields are visible, and the enclosing scope."""

    def __init__(self, struct: StructExpr, outer: Scope | None) -> None:
        self.struct = struct
        self.outer = outer

    def lookup(self, name: str) -> tuple[Scope, list[Expr]] | None:
        """Return the innermost scope that declares a field, and the expressions of all its declarations."""
        scope: Scope | None = self
        while scope is not None:
            declared = [decl.value for decl in scope.struct.fields if decl.name == name]
            if declared:
                return scope, declared
            scope = scope.outer
        return None


class Evaluator:
    """Evaluates expressions; a reference is resolved in the lexical scope of the file that contains it."""

    def __init__(self, diagnostics: Diagnostics) -> None:
        self._diagnostics = diagnostics
        self._resolving: list[tuple[int, str]] = []

    def value(self, expr: Expr, scope: Scope, path: str, closed: bool = False) -> Value:
        """Return the value of an expression.

        `closed` evaluates it as the value of a definition: its structs admit no undeclared fields.
        """
        match expr:
            case Literal():
                return self._literal(expr, path)
            case Reference():
                return self._reference(expr, scope, path)
            case BoundExpr():
                return self._bounded(expr, scope, path)
            case Conjunction(parts=parts):
                unified = self.value(parts[0], scope, path, closed)
                for part in parts[1:]:
                    unified = unify(unified, self.value(part, scope, path, closed), path, self._diagnostics)
                return unified
            case Disjunction(parts=alternatives, at=at):
                flat: list[tuple[bool, Value]] = []
                for is_default, part in alternatives:
                    alternative = self.value(part, scope, path, closed)
                    flat += (
                        [(is_default or inner_default, value) for inner_default, value in alternative.parts]
                        if isinstance(alternative, DisjunctionValue)
                        else [(is_default, alternative)]
                    )
                return DisjunctionValue(tuple(flat), (at,))
            case ListExpr(items=items, rest=rest, open=is_open, at=at):
                values = tuple(
                    self.value(item, scope, f"{path}[{index}]", closed) for index, item in enumerate(items)
                )
                rest_value = (
                    self.value(rest, scope, f"{path}[]", closed)
                    if rest is not None
                    else (top(at) if is_open else None)
                )
                return ListValue(values, rest_value, (at,))
            case StructExpr():
                return self.struct(expr, scope, path, closed)

    def struct(self, struct: StructExpr, outer: Scope | None, path: str, closed: bool = False) -> Struct:
        """Return the value of a struct; its definitions can be referenced but are not fields of the value."""
        scope = Scope(struct, outer)
        fields: dict[str, FieldValue] = {}
        for decl in struct.fields:
            if decl.name.startswith("#"):
                # A definition is evaluated even if it is never referenced, so that its errors are reported.
                self.value(decl.value, scope, join_path(path, decl.name), True)
                continue
            value = self.value(decl.value, scope, join_path(path, decl.name), closed)
            previous = fields.get(decl.name)
            if previous is not None:
                value = unify(previous.value, value, join_path(path, decl.name), self._diagnostics)
            fields[decl.name] = FieldValue(
                value, decl.optional and (previous is None or previous.optional), decl.at
            )
        patterns = []
        for label, pattern in struct.patterns:
            label_type = self.value(label, scope, f"{path}[]")
            if (
                not isinstance(label_type, Type)
                or label_type.kinds != _TYPE_KINDS["string"]
                or label_type.bounds
            ):
                self._diagnostics.add(label_type.at, path, "only [string] may stand for any name")
            patterns.append(self.value(pattern, scope, f"{path}[]", closed))
        return Struct(fields, tuple(patterns), closed and not struct.open, (struct.at,))

    def _literal(self, expr: Literal, path: str) -> Value:
        if not expr.quantity:
            return Scalar("string", expr.value, (expr.at,))
        match = _QUANTITY.fullmatch(expr.value)
        assert match is not None
        digits, unit = match[1].replace("_", ""), match[2]
        is_integer = re.fullmatch(r"-?[0-9]+", digits) is not None
        if unit in _DURATION_UNITS_MS:
            return Scalar("duration", float(digits) * _DURATION_UNITS_MS[unit], (expr.at,))
        if unit in _SIZE_UNITS_BYTES:
            return Scalar("size", round(float(digits) * _SIZE_UNITS_BYTES[unit]), (expr.at,))
        if is_integer:
            return Scalar("int", int(digits), (expr.at,))
        return Scalar("float", float(digits), (expr.at,))

    def _bounded(self, expr: BoundExpr, scope: Scope, path: str) -> Value:
        operand = self.value(expr.operand, scope, path)
        if not isinstance(operand, Scalar):
            return self._diagnostics.add((expr.at,), path, f"{expr.operator} needs one value, not {operand}")
        operand = Scalar(operand.kind, operand.value, (expr.at,))
        kinds = NUMBERS if operand.kind in NUMBERS else frozenset((operand.kind,))
        if expr.operator in ("=~", "!~"):
            try:
                re.compile(str(operand.value))
            except re.error as error:
                return self._diagnostics.add((expr.at,), path, f"no regular expression: {error}")
            if operand.kind != "string":
                return self._diagnostics.add((expr.at,), path, f"{expr.operator} needs a text, not {operand}")
        elif expr.operator == "!=":
            kinds = KINDS
        elif operand.kind in ("bool", "null"):
            return self._diagnostics.add((expr.at,), path, f"{operand} has no order")
        return Type(kinds, (Bound(expr.operator, operand),), (expr.at,))

    def _reference(self, expr: Reference, scope: Scope, path: str) -> Value:
        first = expr.names[0]
        resolved = scope.lookup(first)
        if resolved is None:
            return self._builtin(expr, path)
        declaring_scope, declared = resolved
        key = (id(declaring_scope.struct), first)
        if key in self._resolving:
            return self._diagnostics.add((expr.at,), path, f"{first} refers to itself")
        self._resolving.append(key)
        try:
            value = self.value(declared[0], declaring_scope, path, first.startswith("#"))
            for other in declared[1:]:
                value = unify(
                    value,
                    self.value(other, declaring_scope, path, first.startswith("#")),
                    path,
                    self._diagnostics,
                )
        finally:
            self._resolving.pop()
        for name in expr.names[1:]:
            if not isinstance(value, Struct) or name not in value.fields:
                return self._diagnostics.add((expr.at,), path, f"{'.'.join(expr.names)}: no {name} there")
            value = value.fields[name].value
        return value

    def _builtin(self, expr: Reference, path: str) -> Value:
        name = ".".join(expr.names)
        if name == "_":
            return top(expr.at)
        if name in _KEYWORDS:
            return Scalar("null" if _KEYWORDS[name] is None else "bool", _KEYWORDS[name], (expr.at,))
        if name in _TYPE_KINDS:
            return Type(_TYPE_KINDS[name], (), (expr.at,), name)
        return self._diagnostics.add((expr.at,), path, f"{name} is not known")


def resolve_default(value: Value) -> Value:
    """Return the default of a disjunction that has exactly one, or its only alternative.

    Every other value is returned unchanged.
    """
    if isinstance(value, DisjunctionValue):
        defaults = [part for is_default, part in value.parts if is_default]
        if len(defaults) == 1:
            return resolve_default(defaults[0])
        if len(value.parts) == 1:
            return resolve_default(value.parts[0][1])
    return value


def to_plain(value: Value, path: str, diagnostics: Diagnostics) -> Any:
    """Return a value as plain dicts, lists and scalars.

    Ambiguous disjunctions and missing values are reported to the diagnostics and become None.
    """
    value = resolve_default(value)
    if isinstance(value, Scalar):
        return value.value
    if isinstance(value, Struct):
        return {
            name: to_plain(field.value, join_path(path, name), diagnostics)
            for name, field in value.fields.items()
            if not field.optional
        }
    if isinstance(value, ListValue):
        return [to_plain(item, f"{path}[{index}]", diagnostics) for index, item in enumerate(value.items)]
    if isinstance(value, DisjunctionValue):
        diagnostics.add(value.at, path, f"not decided: {value}")
    elif isinstance(value, Type):
        diagnostics.add(value.at, path, f"missing: {value}")
    return None


def value_at_path(value: Value, path: str) -> Value | None:
    """Return the value at a path such as `sources.zookeeper.servers[0]`, or None if there is none."""
    for name in re.findall(r"[^.\[\]]+", path):
        value = resolve_default(value)
        if isinstance(value, Struct) and name in value.fields:
            value = value.fields[name].value
        elif isinstance(value, ListValue) and name.isdigit() and int(name) < len(value.items):
            value = value.items[int(name)]
        else:
            return None
    return value


__all__ = ["Bottom", "Evaluator", "Pos", "Problem", "Scope", "value_at_path", "to_plain", "resolve_default"]
