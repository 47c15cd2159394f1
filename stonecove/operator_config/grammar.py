"""The subset of CUE that the operator's file is written in, parsed by lark into a small syntax tree.

Source: the CUE language specification; `docs/operator-file.md` states what is in the subset, and what
differs: numbers may have the unit of a duration (`ms`, `s`, `min`, `h`, `d`) or of a size (`B`, `KB`, `MB`,
`GB`, `KiB`, `MiB`, `GiB`).
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

GRAMMAR = r"""
start: decl*
?decl: field _COMMA?
     | ellipsis _COMMA?
field: label OPTIONAL? ":" value
?value: field -> shorthand
      | expr
label: IDENT | DEFINITION | STRING | "[" expr "]" -> pattern
ellipsis: "..."
?expr: disjunction
disjunction: alternative ("|" alternative)*
alternative: MARK? conjunction
conjunction: unary ("&" unary)*
?unary: OPERATOR operand -> bound
      | operand
?operand: QUANTITY -> quantity
        | STRING -> text
        | reference
        | "{" decl* "}" -> struct
        | "[" (expr _COMMA)* expr? "]" -> list
        | "[" (expr _COMMA)* "..." expr? _COMMA? "]" -> open_list
        | "(" expr ")"
reference: (IDENT | DEFINITION) ("." (IDENT | DEFINITION))*

OPTIONAL: "?"
MARK: "*"
OPERATOR: ">=" | "<=" | "!=" | "=~" | "!~" | ">" | "<"
DEFINITION: /#[A-Za-z_][A-Za-z0-9_]*/
IDENT: /[A-Za-z_][A-Za-z0-9_]*/
QUANTITY: /-?[0-9][0-9_]*(\.[0-9]+)?([eE][+-]?[0-9]+)?(ms|min|s|h|d|KiB|MiB|GiB|KB|MB|GB|B)?(?![A-Za-z0-9_])/
STRING: /"(\\.|[^"\\\n])*"/
COMMENT: /\/\/[^\n]*/
_COMMA: ","
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""


@dataclass(frozen=True, slots=True)
class Pos:
    """A place in a file; lines and columns from 1."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Problem:
    """Something wrong: where, at which path of the record, and what."""

    at: Pos
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.at}: {self.path + ': ' if self.path else ''}{self.text}"


class OperatorError(Exception):
    """An operator's file that can't be used, with all that is wrong in it."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Literal:
    """A text or a number as written."""

    value: str
    quantity: bool
    at: Pos


@dataclass(frozen=True, slots=True)
class Reference:
    """A name, or names joined by dots."""

    names: tuple[str, ...]
    at: Pos


@dataclass(frozen=True, slots=True)
class Bounded:
    """An operator before a value."""

    operator: str
    operand: Expr
    at: Pos


@dataclass(frozen=True, slots=True)
class Conjunction:
    """Values that must hold together."""

    parts: tuple[Expr, ...]
    at: Pos


@dataclass(frozen=True, slots=True)
class Disjunction:
    """Values of which one is meant; marked ones are defaults."""

    parts: tuple[tuple[bool, Expr], ...]
    at: Pos


@dataclass(frozen=True, slots=True)
class ListOf:
    """A list; `rest` is what further members must be, None for a closed one."""

    items: tuple[Expr, ...]
    rest: Expr | None
    open: bool
    at: Pos


@dataclass(frozen=True, slots=True)
class FieldOf:
    """A field as written; a pattern has no name."""

    name: str
    optional: bool
    value: Expr
    at: Pos


@dataclass(frozen=True, slots=True)
class StructOf:
    """Fields between braces, or a whole file."""

    fields: tuple[FieldOf, ...]
    patterns: tuple[tuple[Expr, Expr], ...]
    open: bool
    at: Pos


Expr = Literal | Reference | Bounded | Conjunction | Disjunction | ListOf | StructOf


@lru_cache(1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)


class _Builder:
    """Makes the syntax tree of lark's."""

    def __init__(self, file: str) -> None:
        self._file = file
        self.problems: list[Problem] = []

    def at(self, node: Tree[Token] | Token) -> Pos:
        """Where something stands."""
        if isinstance(node, Token):
            return Pos(self._file, node.line or 1, node.column or 1)
        meta = node.meta
        return Pos(self._file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def text(self, token: Token) -> str:
        """The text between quotes."""
        try:
            return str(json.loads(token))
        except ValueError:
            self.problems.append(Problem(self.at(token), "", f"{token} has an escape that is none"))
            return ""

    def expr(self, node: Any) -> Expr:
        """An expression."""
        at = self.at(node)
        kind = node.data
        parts = node.children
        if kind == "disjunction":
            found = [(len(part.children) > 1, self.expr(part.children[-1])) for part in parts]
            if len(found) == 1 and not found[0][0]:
                return found[0][1]
            return Disjunction(tuple(found), at)
        if kind == "conjunction":
            return self.expr(parts[0]) if len(parts) == 1 else Conjunction(tuple(map(self.expr, parts)), at)
        if kind == "bound":
            return Bounded(str(parts[0]), self.expr(parts[1]), at)
        if kind == "quantity":
            return Literal(str(parts[0]), True, at)
        if kind == "text":
            return Literal(self.text(parts[0]), False, at)
        if kind == "reference":
            return Reference(tuple(map(str, parts)), at)
        if kind == "list":
            return ListOf(tuple(map(self.expr, parts)), None, False, at)
        if kind == "open_list":
            # The last member is what follows the dots, if it stands behind them; the count of commas tells.
            return self._open_list(node, at)
        return self.struct(parts, at)

    def _open_list(self, node: Tree[Token], at: Pos) -> ListOf:
        parts = list(node.children)
        rest = self.expr(parts.pop()) if parts else None
        return ListOf(tuple(map(self.expr, parts)), rest, True, at)

    def struct(self, decls: list[Any], at: Pos) -> StructOf:
        """The fields of a struct or a file."""
        fields: list[FieldOf] = []
        patterns: list[tuple[Expr, Expr]] = []
        is_open = False
        last = None
        for decl in decls:
            if last is not None and last.end_line == decl.meta.line and not self._comma(last, decl):
                self.problems.append(Problem(self.at(decl), "", "fields on one line are parted by a comma"))
            last = decl.meta
            if decl.data == "ellipsis":
                is_open = True
                continue
            label, value = decl.children[0], decl.children[-1]
            optional = len(decl.children) > 2
            if value.data == "shorthand":
                inner: Expr = self.struct(value.children, self.at(value))
            else:
                inner = self.expr(value)
            if label.data == "pattern":
                patterns.append((self.expr(label.children[0]), inner))
                continue
            token = label.children[0]
            name = self.text(token) if token.type == "STRING" else str(token)
            fields.append(FieldOf(name, optional, inner, self.at(token)))
        return StructOf(tuple(fields), tuple(patterns), is_open, at)

    def _comma(self, before: Any, after: Any) -> bool:
        text = self.source[before.end_pos : after.meta.start_pos]
        return "," in text

    source = ""


def parse(text: str, file: str) -> StructOf:
    """The syntax tree of a file; raises OperatorError."""
    builder = _Builder(file)
    builder.source = text
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise OperatorError([_unexpected(error, text, file)]) from None
    except RecursionError:
        raise OperatorError([Problem(Pos(file, 1), "", "nested too deeply")]) from None
    try:
        found = builder.struct(tree.children, Pos(file, 1))
    except RecursionError:
        raise OperatorError([Problem(Pos(file, 1), "", "nested too deeply")]) from None
    if builder.problems:
        raise OperatorError(builder.problems)
    return found


def _unexpected(error: UnexpectedInput, text: str, file: str) -> Problem:
    line = error.line if isinstance(error.line, int) and error.line > 0 else text.count("\n") + 1
    column = error.column if isinstance(error.column, int) and error.column > 0 else 1
    if isinstance(error, UnexpectedToken):
        what = "the end of the file" if error.token.type == "$END" else repr(str(error.token)[:30])
    elif isinstance(error, UnexpectedCharacters):
        what = repr(text[error.pos_in_stream or 0 :][:1])
    else:
        what = "this"
    return Problem(Pos(file, line, column), "", f"{what} at column {column} is not of the language's subset")
