"""Grammar and syntax tree of the operator file's language, a subset of CUE parsed with lark.

Source: the CUE language specification; `docs/operator-file.md` defines the subset. It extends CUE by units:
a number may have the unit of a duration (`ms`, `s`, `min`, `h`, `d`) or of a size (`B`, `KB`, `MB`, `GB`,
`KiB`, `MiB`, `GiB`).
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
    """A source position; lines and columns count from 1."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Problem:
    """A diagnostic: its source position, the path of the value concerned, and a message."""

    at: Pos
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.at}: {self.path + ': ' if self.path else ''}{self.text}"


class OperatorError(Exception):
    """Raised for an invalid operator file; `problems` lists every diagnostic."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Literal:
    """A string literal, or the source text of a number with an optional unit."""

    value: str
    quantity: bool
    at: Pos


@dataclass(frozen=True, slots=True)
class Reference:
    """An identifier, or a selector of identifiers joined by dots."""

    names: tuple[str, ...]
    at: Pos


@dataclass(frozen=True, slots=True)
class BoundExpr:
    """A unary comparison operator and its operand."""

    operator: str
    operand: Expr
    at: Pos


@dataclass(frozen=True, slots=True)
class Conjunction:
    """Expressions joined by `&`, whose values are unified."""

    parts: tuple[Expr, ...]
    at: Pos


@dataclass(frozen=True, slots=True)
class Disjunction:
    """Alternatives joined by `|`, each with a flag that is true for a default."""

    parts: tuple[tuple[bool, Expr], ...]
    at: Pos


@dataclass(frozen=True, slots=True)
class ListExpr:
    """A list; `rest` constrains further elements of an open list, None if it has no constraint."""

    items: tuple[Expr, ...]
    rest: Expr | None
    open: bool
    at: Pos


@dataclass(frozen=True, slots=True)
class FieldDecl:
    """The declaration of a named field."""

    name: str
    optional: bool
    value: Expr
    at: Pos


@dataclass(frozen=True, slots=True)
class StructExpr:
    """A struct in braces, or a complete file: fields, pattern constraints, and whether it has an ellipsis."""

    fields: tuple[FieldDecl, ...]
    patterns: tuple[tuple[Expr, Expr], ...]
    open: bool
    at: Pos


Expr = Literal | Reference | BoundExpr | Conjunction | Disjunction | ListExpr | StructExpr


@lru_cache(1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)


class _Builder:
    """Converts lark's parse tree into the syntax tree, collecting problems."""

    def __init__(self, file: str) -> None:
        self._file = file
        self.problems: list[Problem] = []

    def at(self, node: Tree[Token] | Token) -> Pos:
        """Return the source position of a node or token."""
        if isinstance(node, Token):
            return Pos(self._file, node.line or 1, node.column or 1)
        meta = node.meta
        return Pos(self._file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def text(self, token: Token) -> str:
        """Return the decoded value of a string token; an invalid escape is reported as a problem."""
        try:
            return str(json.loads(token))
        except ValueError:
            self.problems.append(Problem(self.at(token), "", f"{token} has an escape that is none"))
            return ""

    def expr(self, node: Any) -> Expr:
        """Return the expression of a parse tree node."""
        at = self.at(node)
        kind = node.data
        parts = node.children
        if kind == "disjunction":
            alternatives = [(len(part.children) > 1, self.expr(part.children[-1])) for part in parts]
            if len(alternatives) == 1 and not alternatives[0][0]:
                return alternatives[0][1]
            return Disjunction(tuple(alternatives), at)
        if kind == "conjunction":
            return self.expr(parts[0]) if len(parts) == 1 else Conjunction(tuple(map(self.expr, parts)), at)
        if kind == "bound":
            return BoundExpr(str(parts[0]), self.expr(parts[1]), at)
        if kind == "quantity":
            return Literal(str(parts[0]), True, at)
        if kind == "text":
            return Literal(self.text(parts[0]), False, at)
        if kind == "reference":
            return Reference(tuple(map(str, parts)), at)
        if kind == "list":
            return ListExpr(tuple(map(self.expr, parts)), None, False, at)
        if kind == "open_list":
            # The grammar drops the ellipsis; the last child is taken as the constraint on further elements.
            return self._open_list(node, at)
        return self.struct(parts, at)

    def _open_list(self, node: Tree[Token], at: Pos) -> ListExpr:
        parts = list(node.children)
        rest = self.expr(parts.pop()) if parts else None
        return ListExpr(tuple(map(self.expr, parts)), rest, True, at)

    def struct(self, decls: list[Any], at: Pos) -> StructExpr:
        """Return the struct of the declarations of a pair of braces or of a file."""
        fields: list[FieldDecl] = []
        patterns: list[tuple[Expr, Expr]] = []
        is_open = False
        previous = None
        for decl in decls:
            if (
                previous is not None
                and previous.end_line == decl.meta.line
                and not self._has_comma_between(previous, decl)
            ):
                self.problems.append(Problem(self.at(decl), "", "fields on one line are parted by a comma"))
            previous = decl.meta
            if decl.data == "ellipsis":
                is_open = True
                continue
            label, value = decl.children[0], decl.children[-1]
            optional = len(decl.children) > 2
            if value.data == "shorthand":
                value_expr: Expr = self.struct(value.children, self.at(value))
            else:
                value_expr = self.expr(value)
            if label.data == "pattern":
                patterns.append((self.expr(label.children[0]), value_expr))
                continue
            token = label.children[0]
            name = self.text(token) if token.type == "STRING" else str(token)
            fields.append(FieldDecl(name, optional, value_expr, self.at(token)))
        return StructExpr(tuple(fields), tuple(patterns), is_open, at)

    def _has_comma_between(self, previous: Any, following: Any) -> bool:
        text = self.source[previous.end_pos : following.meta.start_pos]
        return "," in text

    source = ""


def parse(text: str, file: str) -> StructExpr:
    """Return the syntax tree of a source text; raises OperatorError if it is invalid."""
    builder = _Builder(file)
    builder.source = text
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise OperatorError([_syntax_problem(error, text, file)]) from None
    except RecursionError:
        raise OperatorError([Problem(Pos(file, 1), "", "nested too deeply")]) from None
    try:
        struct = builder.struct(tree.children, Pos(file, 1))
    except RecursionError:
        raise OperatorError([Problem(Pos(file, 1), "", "nested too deeply")]) from None
    if builder.problems:
        raise OperatorError(builder.problems)
    return struct


def _syntax_problem(error: UnexpectedInput, text: str, file: str) -> Problem:
    line = error.line if isinstance(error.line, int) and error.line > 0 else text.count("\n") + 1
    column = error.column if isinstance(error.column, int) and error.column > 0 else 1
    if isinstance(error, UnexpectedToken):
        unexpected = "the end of the file" if error.token.type == "$END" else repr(str(error.token)[:30])
    elif isinstance(error, UnexpectedCharacters):
        unexpected = repr(text[error.pos_in_stream or 0 :][:1])
    else:
        unexpected = "this"
    return Problem(
        Pos(file, line, column), "", f"{unexpected} at column {column} is not of the language's subset"
    )
