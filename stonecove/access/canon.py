"""Canonical form of paths. Other forms are rejected, so that a token cannot cover two spellings of a path.

RFC 3986 allows many spellings of one path. The canonical one has segments of unreserved characters,
sub-delims, `:` and `@`; other bytes as %XX with upper-case digits; nothing encoded that need not be; no empty
segments; no `.` or `..`; and no encoded slash, backslash, percent sign, NUL or other control character.
"""

from __future__ import annotations

import re

MAX_PATH_LENGTH = 1024

_UNENCODED = r"A-Za-z0-9\-._~!$&'()*+,;=:@"
_SEGMENT = rf"(?:[{_UNENCODED}]|%[0-9A-F]{{2}})+"
_PATH = re.compile(rf"(?:/{_SEGMENT})+")
_NEEDLESSLY_ENCODED = {
    f"%{ord(char):02X}"
    for char in "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~!$&'()*+,;=:@"
}
_FORBIDDEN = {"%2F", "%5C", "%25", "%7F", *(f"%{code:02X}" for code in range(32))}
_ENCODED = re.compile(r"%[0-9A-F]{2}")


def path_error(path: str) -> str:
    """Return why a path is not canonical; empty if it is."""
    if len(path) > MAX_PATH_LENGTH:
        return "longer than allowed"
    if not _PATH.fullmatch(path):
        return "a character, an encoding or an empty segment that is not allowed"
    if any(segment in (".", "..") for segment in path.split("/")):
        return "a dot segment"
    for escape in _ENCODED.findall(path):
        if escape in _FORBIDDEN:
            return "an encoding that is not allowed"
        if escape in _NEEDLESSLY_ENCODED:
            return "a needless encoding"
    return ""
