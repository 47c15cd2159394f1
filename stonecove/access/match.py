"""Patterns of resources, matched in time linear in text times stars, without backtracking over more than one.

`*` is any run of characters, `?` any one (CloudFront, "Setting signed cookies and URLs using a custom
policy"; Akamai's ACL). Case counts.
"""

from __future__ import annotations

MOST_PATTERN = 2048


def glob(pattern: str, text: str) -> bool:
    """Whether the whole text is of this pattern. Only the last `*` is ever taken back: O(len * len)."""
    at = place = 0
    star, mark = -1, 0
    while at < len(text):
        if place < len(pattern) and pattern[place] == "*":
            star, mark = place, at
            place += 1
        elif place < len(pattern) and pattern[place] in ("?", text[at]):
            at += 1
            place += 1
        elif star >= 0:
            mark += 1
            at, place = mark, star + 1
        else:
            return False
    return all(char == "*" for char in pattern[place:])
