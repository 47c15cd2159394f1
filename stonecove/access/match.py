"""Glob patterns of resources.

`*` matches any run of characters, `?` any single one (CloudFront, "Setting signed cookies and URLs using a
custom policy"; Akamai's ACL). Matching is case-sensitive.
"""

from __future__ import annotations

MAX_PATTERN_LENGTH = 2048


def glob(pattern: str, text: str) -> bool:
    """Return whether the pattern matches the complete text.

    Backtracks to the last `*` only, so the worst case is quadratic in the lengths, never exponential.
    """
    text_index = pattern_index = 0
    star_index, star_text_index = -1, 0
    while text_index < len(text):
        if pattern_index < len(pattern) and pattern[pattern_index] == "*":
            star_index, star_text_index = pattern_index, text_index
            pattern_index += 1
        elif pattern_index < len(pattern) and pattern[pattern_index] in ("?", text[text_index]):
            text_index += 1
            pattern_index += 1
        elif star_index >= 0:
            star_text_index += 1
            text_index, pattern_index = star_text_index, star_index + 1
        else:
            return False
    return all(char == "*" for char in pattern[pattern_index:])
