"""JSON merge patch (RFC 7396) and its application to a router's settings."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from stonecove.rollout.messages import MessageError, Overlay
from stonecove.routing.settings import Settings
from stonecove.settings import settings_from

MAX_PATCH_DEPTH = 32


def merge_patch(base: Any, patch: Any, depth: int = 0) -> Any:
    """Return the patched value; `base` is not modified. Raise MessageError for a patch nested too deeply."""
    if depth > MAX_PATCH_DEPTH:
        raise MessageError(f"merge: nested more than {MAX_PATCH_DEPTH} deep")
    if not isinstance(patch, Mapping):
        return patch
    merged = dict(base) if isinstance(base, Mapping) else {}
    for field, value in patch.items():
        if value is None:
            merged.pop(field, None)
        else:
            merged[field] = merge_patch(merged.get(field), value, depth + 1)
    return merged


def settings_with(base: Mapping[str, Any], overlay: Overlay) -> Settings:
    """Return the settings of a router's own table with an overlay; raise MessageError for unusable ones."""
    try:
        return settings_from(merge_patch(base, overlay.merge))
    except MessageError:
        raise
    except KeyError as error:
        raise MessageError(f"settings lack {error}") from None
    except (TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise MessageError(f"settings can't be used: {error}") from None
