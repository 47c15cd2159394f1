"""Values of the operator's file and their unification: the greatest value that is an instance of both.

Source: the CUE language specification, "Values" and "Unification". A value is a scalar, a type with bounds,
a struct, a list or a disjunction; what can't be unified is noted as a problem that names both places, and
all of them are found in one go.
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
Plain = str | int | float | bool | None
_COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
}
_UNITS = (("h", 3_600_000.0), ("min", 60_000.0), ("s", 1000.0), ("ms", 1.0))
_SIZES = (("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1))


@dataclass(frozen=True, slots=True)
class Scalar:
    """One value: durations are in milliseconds, sizes in bytes."""

    kind: str
    value: Plain
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        value = self.value
        if self.kind == "duration" and isinstance(value, float):
            unit, of = next((pair for pair in _UNITS if value and value % pair[1] == 0), ("ms", 1.0))
            return f"{value / of:g}{unit}"
        if self.kind == "size" and isinstance(value, int):
            unit, size = next((pair for pair in _SIZES if value and value % pair[1] == 0), ("B", 1))
            return f"{value // size}{unit}"
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
    """An operator and what it compares with."""

    operator: str
    operand: Scalar

    def __str__(self) -> str:
        return f"{self.operator}{self.operand}"

    def holds(self, one: Scalar) -> bool:
        """Whether a value is within; values of another kind are not."""
        mine, theirs = self.operand, one
        if self.operator in ("=~", "!~"):
            return isinstance(theirs.value, str) and (
                bool(re.search(str(mine.value), theirs.value)) == (self.operator == "=~")
            )
        if self.operator == "!=":
            return mine.value != theirs.value or mine.kind != theirs.kind
        same = mine.kind == theirs.kind or {mine.kind, theirs.kind} <= NUMBERS
        return same and _COMPARE[self.operator](theirs.value, mine.value)


@dataclass(frozen=True, slots=True)
class Type:
    """Any value of these kinds within these bounds."""

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
    """A field of a struct."""

    value: Value
    optional: bool
    at: Pos


@dataclass(frozen=True, slots=True)
class Struct:
    """Fields by name; a closed one has no others than those, and those that its patterns allow."""

    fields: dict[str, FieldValue]
    patterns: tuple[Value, ...]
    closed: bool
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        return "{...}"


@dataclass(frozen=True, slots=True)
class ListValue:
    """Members, and what further ones must be; None: there are no further ones."""

    items: tuple[Value, ...]
    rest: Value | None
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        items = [*map(str, self.items), *([f"...{self.rest}"] if self.rest is not None else [])]
        return f"[{', '.join(items)}]"


@dataclass(frozen=True, slots=True)
class Choice:
    """A disjunction: alternatives, those first that are defaults."""

    parts: tuple[tuple[bool, Value], ...]
    at: tuple[Pos, ...]

    def __str__(self) -> str:
        return " | ".join(("*" if default else "") + str(part) for default, part in self.parts)


@dataclass(frozen=True, slots=True)
class Bottom:
    """What could not be unified; its problem is noted already."""

    at: tuple[Pos, ...] = ()

    def __str__(self) -> str:
        return "_|_"


Value = Scalar | Type | Struct | ListValue | Choice | Bottom


@dataclass
class Notes:
    """Problems as they are found."""

    problems: list[Problem] = field(default_factory=list)

    def add(self, at: tuple[Pos, ...], path: str, text: str) -> Bottom:
        """Notes one, at the first place; the others are named in its text."""
        places = list({str(place): place for place in reversed(at)}.values())[::-1]
        others = [str(place) for place in places[1:]]
        also = f" ({', '.join(others)})" if others else ""
        self.problems.append(Problem(places[0] if places else Pos("?", 1), path, text + also))
        return Bottom(at)


def top(at: Pos) -> Type:
    """`_`: anything."""
    return Type(KINDS, (), (at,))


def join(path: str, name: str) -> str:
    """The path of a field."""
    return f"{path}.{name}" if path else name


def unify(one: Value, other: Value, path: str, notes: Notes) -> Value:
    """The value that is an instance of both; problems go to the notes. `one` is named first in a problem."""
    if isinstance(one, Bottom) or isinstance(other, Bottom):
        return Bottom(one.at + other.at)
    if isinstance(one, Type) and one.kinds == KINDS and not one.bounds:
        return other
    if isinstance(other, Type) and other.kinds == KINDS and not other.bounds:
        return one
    if isinstance(one, Choice) or isinstance(other, Choice):
        return _unify_choices(one, other, path, notes)
    if isinstance(one, Struct) and isinstance(other, Struct):
        return _unify_structs(one, other, path, notes)
    if isinstance(one, ListValue) and isinstance(other, ListValue):
        return _unify_lists(one, other, path, notes)
    if isinstance(one, Scalar) and isinstance(other, Scalar):
        if (
            one.value == other.value
            and (one.kind == other.kind or {one.kind, other.kind} <= NUMBERS)
            and (isinstance(one.value, bool) == isinstance(other.value, bool))
        ):
            return replace(one, at=one.at + other.at)
        return notes.add(one.at + other.at, path, f"{one} is not {other}")
    if isinstance(one, Type) and isinstance(other, Type):
        kinds = one.kinds & other.kinds
        if kinds:
            return Type(kinds, one.bounds + other.bounds, one.at + other.at)
    elif isinstance(one, Scalar) and isinstance(other, Type):
        return _within(one, other, path, notes)
    elif isinstance(one, Type) and isinstance(other, Scalar):
        return _within(other, one, path, notes)
    return notes.add(one.at + other.at, path, f"{one} and {other} have nothing in common")


def _within(one: Scalar, kind: Type, path: str, notes: Notes) -> Value:
    at = one.at + kind.at
    kinds = kind.kinds | {"int"} if "float" in kind.kinds and kind.kinds != NUMBERS else kind.kinds
    if one.kind not in kinds:
        return notes.add(at, path, f"{one} is no {Type(kind.kinds, (), ())}")
    for bound in kind.bounds:
        if not bound.holds(one):
            return notes.add(one.at + bound.operand.at, path, f"{one} is not {bound}")
    return replace(one, at=at)


def _unify_choices(one: Value, other: Value, path: str, notes: Notes) -> Value:
    """Each alternative with each. A default is what is one on both sides, or on one where the other has
    none.
    """
    lefts = one.parts if isinstance(one, Choice) else ((False, one),)
    rights = other.parts if isinstance(other, Choice) else ((False, other),)
    left_marks, right_marks = any(mark for mark, _ in lefts), any(mark for mark, _ in rights)
    found: list[tuple[bool, Value]] = []
    failed: list[Problem] = []
    for left_mark, left in lefts:
        for right_mark, right in rights:
            tried = Notes()
            value = unify(left, right, path, tried)
            if tried.problems:
                failed += tried.problems
                continue
            default = (
                (left_mark or not left_marks)
                and (right_mark or not right_marks)
                and (left_marks or right_marks)
            )
            if not any(_same(value, known) and default <= mark for mark, known in found):
                found = [(mark, known) for mark, known in found if not _same(value, known)]
                found.append((default, value))
    if not found:
        # An alternative that fails deep inside says more than the list of all: it is the one that was meant.
        deep = [problem for problem in failed if problem.path != path]
        if deep:
            notes.problems += deep
            return Bottom(one.at + other.at)
        return notes.add(
            one.at + other.at,
            path,
            f"{one} is none of {other}" if isinstance(other, Choice) else f"{other} is none of {one}",
        )
    if len(found) == 1:
        return found[0][1]
    return Choice(tuple(found), one.at + other.at)


def _same(one: Value, other: Value) -> bool:
    return (
        isinstance(one, Scalar)
        and isinstance(other, Scalar)
        and (one.kind, one.value) == (other.kind, other.value)
    )


def _unify_lists(one: ListValue, other: ListValue, path: str, notes: Notes) -> Value:
    for short, long in ((one, other), (other, one)):
        if short.rest is None and len(long.items) > len(short.items):
            return notes.add(
                short.at + long.at, path, f"{len(short.items)} members where {len(long.items)} are wanted"
            )
    items: list[Value] = []
    for place in range(max(len(one.items), len(other.items))):
        pair = [side.items[place] if place < len(side.items) else side.rest for side in (one, other)]
        left, right = pair
        assert left is not None and right is not None
        items.append(unify(left, right, f"{path}[{place}]", notes))
    rest = None
    if one.rest is not None and other.rest is not None:
        rest = unify(one.rest, other.rest, f"{path}[]", notes)
    return ListValue(tuple(items), rest, one.at + other.at)


def _unify_structs(one: Struct, other: Struct, path: str, notes: Notes) -> Value:
    for closed, given in ((one, other), (other, one)):
        if closed.closed:
            _allowed(closed, given, path, notes)
    fields: dict[str, FieldValue] = {}
    for name in [*one.fields, *(name for name in other.fields if name not in one.fields)]:
        left, right = one.fields.get(name), other.fields.get(name)
        if left is not None and right is not None:
            fields[name] = FieldValue(
                unify(left.value, right.value, join(path, name), notes),
                left.optional and right.optional,
                left.at,
            )
            continue
        mine = left or right
        assert mine is not None
        value = mine.value
        for pattern in (other if left is not None else one).patterns:
            value = unify(value, pattern, join(path, name), notes)
        fields[name] = replace(mine, value=value)
    return Struct(fields, one.patterns + other.patterns, one.closed or other.closed, one.at + other.at)


def _allowed(closed: Struct, given: Struct, path: str, notes: Notes) -> None:
    if closed.patterns:
        return
    for name, found in given.fields.items():
        if name not in closed.fields and not found.optional:
            near = difflib.get_close_matches(name, closed.fields, 1)
            hint = f"; did you mean {near[0]}?" if near else ""
            notes.add((found.at, *closed.at[:1]), join(path, name), f"no such field{hint}")
