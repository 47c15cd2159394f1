"""The one form of a path. What is not in it is refused: a token must not mean two things.

RFC 3986 lets a path be written in many ways. Here each has exactly one: segments of unreserved characters
and sub-delims, `:` and `@`, other bytes as %XX with upper-case digits, nothing encoded that need not be, no
empty segments, no `.` or `..`, no encoded slash, backslash, percent, NUL or other control.
"""

from __future__ import annotations

import re

MOST_PATH = 1024

_PLAIN = r"A-Za-z0-9\-._~!$&'()*+,;=:@"
_SEGMENT = rf"(?:[{_PLAIN}]|%[0-9A-F]{{2}})+"
_PATH = re.compile(rf"(?:/{_SEGMENT})+")
_NEEDLESS = {
    f"%{ord(char):02X}"
    for char in "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~!$&'()*+,;=:@"
}
_NEVER = {"%2F", "%5C", "%25", "%7F", *(f"%{code:02X}" for code in range(32))}
_ENCODED = re.compile(r"%[0-9A-F]{2}")


def wrong_with(path: str) -> str:
    """What keeps a path from being in its one form; empty if it is."""
    if len(path) > MOST_PATH:
        return "longer than allowed"
    if not _PATH.fullmatch(path):
        return "a character, an encoding or an empty segment that is not allowed"
    if any(segment in (".", "..") for segment in path.split("/")):
        return "a dot segment"
    for found in _ENCODED.findall(path):
        if found in _NEVER:
            return "an encoding that is not allowed"
        if found in _NEEDLESS:
            return "a needless encoding"
    return ""
