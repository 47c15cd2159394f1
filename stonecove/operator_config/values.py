"""Values of the operator file and their unification: the greatest lower bound in the value lattice.

Source: the CUE language specification, "Values" and "Unification". A value is a scalar, a type with bounds,
a struct, a list or a disjunction. A conflict is reported as a problem that names both source positions, and
unification continues after it, so that one pass reports all conflicts.
"""

from __future__ import annotations

import difflib
import operator
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from stonecove.operator_config.grammar import Pos, Problem

NUMBERS = frozenset(("int", "float"))
KINDS = frozenset(("int", "float", "string", "bool", "null", "duration", "size"))
PlainScalar = str | int | float | bool | None
_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
}
_DURATION_UNITS_MS = (("h", 3_600_000.0), ("min", 60_000.0), ("s", 1000.0), ("ms", 1.0))
_SIZE_UNITS_BYTES = (("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1))


@dataclass(frozen=True, slots=True)
class Scalar:
    """A concrete scalar; durations are in milliseconds, sizes in bytes."""

    kind: str
    value: PlainScalar
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        value = self.value
        if self.kind == "duration" and isinstance(value, float):
            unit, unit_ms = next(
                (pair for pair in _DURATION_UNITS_MS if value and value % pair[1] == 0), ("ms", 1.0)
            )
            return f"{value / unit_ms:g}{unit}"
        if self.kind == "size" and isinstance(value, int):
            unit, unit_bytes = next(
                (pair for pair in _SIZE_UNITS_BYTES if value and value % pair[1] == 0), ("B", 1)
            )
            return f"{value // unit_bytes}{unit}"
        if isinstance(value, bool) or value is None:
            return {True: "true", False: "false", None: "null"}[value]
        return (
            f'"{value}"'
            if isinstance(value, str)
            else f"{value:g}"
            if isinstance(value, float)
            else str(value)
        )


@dataclass(frozen=True, slots=True)
class Bound:
    """A constraint on a scalar: a comparison operator and its operand."""

    operator: str
    operand: Scalar

    def __str__(self) -> str:
        return f"{self.operator}{self.operand}"

    def admits(self, candidate: Scalar) -> bool:
        """Return whether a scalar satisfies the bound; an order or pattern never admits another kind."""
        operand, scalar = self.operand, candidate
        if self.operator in ("=~", "!~"):
            return isinstance(scalar.value, str) and (
                bool(re.search(str(operand.value), scalar.value)) == (self.operator == "=~")
            )
        if self.operator == "!=":
            return operand.value != scalar.value or operand.kind != scalar.kind
        same_kind = operand.kind == scalar.kind or {operand.kind, scalar.kind} <= NUMBERS
        return same_kind and _COMPARISONS[self.operator](scalar.value, operand.value)


@dataclass(frozen=True, slots=True)
class Type:
    """Any scalar of the given kinds that satisfies all bounds."""

    kinds: frozenset[str]
    bounds: tuple[Bound, ...]
    at: tuple[Pos, ...]
    name: str = ""

    def __str__(self) -> str:
        kinds = (
            "_"
            if self.kinds == KINDS
            else "number"
            if self.kinds == NUMBERS
            else " or ".join(sorted(self.kinds))
        )
        parts = [str(bound) for bound in self.bounds]
        return " & ".join([kinds, *parts] if kinds != "_" or not parts else parts)


@dataclass(frozen=True, slots=True)
class FieldValue:
    """The value of a struct field, whether it is optional, and its source position."""

    value: Value
    optional: bool
    at: Pos


@dataclass(frozen=True, slots=True)
class Struct:
    """Fields by name; a closed struct admits only these, and those that match its patterns."""

    fields: dict[str, FieldValue]
    patterns: tuple[Value, ...]
    closed: bool
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        return "{...}"


@dataclass(frozen=True, slots=True)
class ListValue:
    """The elements of a list, and the constraint on further elements; None for a closed list."""

    items: tuple[Value, ...]
    rest: Value | None
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        items = [*map(str, self.items), *([f"...{self.rest}"] if self.rest is not None else [])]
        return f"[{', '.join(items)}]"


@dataclass(frozen=True, slots=True)
class DisjunctionValue:
    """A disjunction: alternatives, each with a flag that is true for a default."""

    parts: tuple[tuple[bool, Value], ...]
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        return " | ".join(("*" if default else "") + str(part) for default, part in self.parts)


@dataclass(frozen=True, slots=True)
class Bottom:
    """The result of a failed unification, whose problem has been reported."""

    at: tuple[Pos, ...] = ()

    def __str__(self) -> str:
        return "_|_"


Value = Scalar | Type | Struct | ListValue | DisjunctionValue | Bottom


@dataclass
class Diagnostics:
    """Collects the problems that evaluation and unification report."""

    problems: list[Problem] = field(default_factory=list)

    def add(self, at: tuple[Pos, ...], path: str, text: str) -> Bottom:
        """Report a problem at the first source position; its text names the other positions."""
        unique = list({str(pos): pos for pos in reversed(at)}.values())[::-1]
        related = [str(pos) for pos in unique[1:]]
        suffix = f" ({', '.join(related)})" if related else ""
        self.problems.append(Problem(unique[0] if unique else Pos("?", 1), path, text + suffix))
        return Bottom(at)


def top(at: Pos) -> Type:
    """Return the top of the lattice, `_`, which admits any value."""
    return Type(KINDS, (), (at,))


def join_path(path: str, name: str) -> str:
    """Return the path of a field within the value at `path`."""
    return f"{path}.{name}" if path else name


def unify(left: Value, right: Value, path: str, diagnostics: Diagnostics) -> Value:
    """Return the greatest lower bound of two values, Bottom if there is none.

    Conflicts are reported to the diagnostics; their texts name `left` before `right`.
    """
    if isinstance(left, Bottom) or isinstance(right, Bottom):
        return Bottom(left.at + right.at)
    if isinstance(left, Type) and left.kinds == KINDS and not left.bounds:
        return right
    if isinstance(right, Type) and right.kinds == KINDS and not right.bounds:
        return left
    if isinstance(left, DisjunctionValue) or isinstance(right, DisjunctionValue):
        return _unify_disjunctions(left, right, path, diagnostics)
    if isinstance(left, Struct) and isinstance(right, Struct):
        return _unify_structs(left, right, path, diagnostics)
    if isinstance(left, ListValue) and isinstance(right, ListValue):
        return _unify_lists(left, right, path, diagnostics)
    if isinstance(left, Scalar) and isinstance(right, Scalar):
        if (
            left.value == right.value
            and (left.kind == right.kind or {left.kind, right.kind} <= NUMBERS)
            and (isinstance(left.value, bool) == isinstance(right.value, bool))
        ):
            return replace(left, at=left.at + right.at)
        return diagnostics.add(left.at + right.at, path, f"{left} is not {right}")
    if isinstance(left, Type) and isinstance(right, Type):
        kinds = left.kinds & right.kinds
        if kinds:
            return Type(kinds, left.bounds + right.bounds, left.at + right.at)
    elif isinstance(left, Scalar) and isinstance(right, Type):
        return _unify_scalar_with_type(left, right, path, diagnostics)
    elif isinstance(left, Type) and isinstance(right, Scalar):
        return _unify_scalar_with_type(right, left, path, diagnostics)
    return diagnostics.add(left.at + right.at, path, f"{left} and {right} have nothing in common")


def _unify_scalar_with_type(scalar: Scalar, constraint: Type, path: str, diagnostics: Diagnostics) -> Value:
    at = scalar.at + constraint.at
    kinds = (
        constraint.kinds | {"int"}
        if "float" in constraint.kinds and constraint.kinds != NUMBERS
        else constraint.kinds
    )
    if scalar.kind not in kinds:
        return diagnostics.add(at, path, f"{scalar} is no {Type(constraint.kinds, (), ())}")
    for bound in constraint.bounds:
        if not bound.admits(scalar):
            return diagnostics.add(scalar.at + bound.operand.at, path, f"{scalar} is not {bound}")
    return replace(scalar, at=at)


def _unify_disjunctions(first: Value, second: Value, path: str, diagnostics: Diagnostics) -> Value:
    """Unify each alternative of one side with each of the other.

    A result is a default if at least one side has a default, and each side that has any contributes one.
    """
    left_parts = first.parts if isinstance(first, DisjunctionValue) else ((False, first),)
    right_parts = second.parts if isinstance(second, DisjunctionValue) else ((False, second),)
    left_has_default, right_has_default = (
        any(marked for marked, _ in left_parts),
        any(marked for marked, _ in right_parts),
    )
    unified: list[tuple[bool, Value]] = []
    branch_problems: list[Problem] = []
    for left_default, left in left_parts:
        for right_default, right in right_parts:
            branch = Diagnostics()
            value = unify(left, right, path, branch)
            if branch.problems:
                branch_problems += branch.problems
                continue
            is_default = (
                (left_default or not left_has_default)
                and (right_default or not right_has_default)
                and (left_has_default or right_has_default)
            )
            if not any(_same_scalar(value, known) and is_default <= marked for marked, known in unified):
                unified = [(marked, known) for marked, known in unified if not _same_scalar(value, known)]
                unified.append((is_default, value))
    if not unified:
        # An alternative that fails at a nested path is most likely the intended one, so its problems are
        # more useful than a list of all alternatives.
        nested = [problem for problem in branch_problems if problem.path != path]
        if nested:
            diagnostics.problems += nested
            return Bottom(first.at + second.at)
        return diagnostics.add(
            first.at + second.at,
            path,
            f"{first} is none of {second}"
            if isinstance(second, DisjunctionValue)
            else f"{second} is none of {first}",
        )
    if len(unified) == 1:
        return unified[0][1]
    return DisjunctionValue(tuple(unified), first.at + second.at)


def _same_scalar(first: Value, second: Value) -> bool:
    return (
        isinstance(first, Scalar)
        and isinstance(second, Scalar)
        and (first.kind, first.value) == (second.kind, second.value)
    )


def _unify_lists(first: ListValue, second: ListValue, path: str, diagnostics: Diagnostics) -> Value:
    for closed, given in ((first, second), (second, first)):
        if closed.rest is None and len(given.items) > len(closed.items):
            return diagnostics.add(
                closed.at + given.at, path, f"{len(closed.items)} members where {len(given.items)} are wanted"
            )
    items: list[Value] = []
    for index in range(max(len(first.items), len(second.items))):
        elements = [side.items[index] if index < len(side.items) else side.rest for side in (first, second)]
        left, right = elements
        assert left is not None and right is not None
        items.append(unify(left, right, f"{path}[{index}]", diagnostics))
    rest = None
    if first.rest is not None and second.rest is not None:
        rest = unify(first.rest, second.rest, f"{path}[]", diagnostics)
    return ListValue(tuple(items), rest, first.at + second.at)


def _unify_structs(first: Struct, second: Struct, path: str, diagnostics: Diagnostics) -> Value:
    for closed, given in ((first, second), (second, first)):
        if closed.closed:
            _check_closed(closed, given, path, diagnostics)
    fields: dict[str, FieldValue] = {}
    for name in [*first.fields, *(name for name in second.fields if name not in first.fields)]:
        left, right = first.fields.get(name), second.fields.get(name)
        if left is not None and right is not None:
            fields[name] = FieldValue(
                unify(left.value, right.value, join_path(path, name), diagnostics),
                left.optional and right.optional,
                left.at,
            )
            continue
        present = left or right
        assert present is not None
        value = present.value
        for pattern in (second if left is not None else first).patterns:
            value = unify(value, pattern, join_path(path, name), diagnostics)
        fields[name] = replace(present, value=value)
    return Struct(
        fields, first.patterns + second.patterns, first.closed or second.closed, first.at + second.at
    )


def _check_closed(closed: Struct, given: Struct, path: str, diagnostics: Diagnostics) -> None:
    if closed.patterns:
        return
    for name, field_value in given.fields.items():
        if name not in closed.fields and not field_value.optional:
            matches = difflib.get_close_matches(name, closed.fields, 1)
            hint = f"; did you mean {matches[0]}?" if matches else ""
            diagnostics.add((field_value.at, *closed.at[:1]), join_path(path, name), f"no such field{hint}")
