"""One greppable line per event, on standard error."""

from __future__ import annotations

import sys
import time


def log(event: str, **fields: object) -> None:
    """Writes `time event name=value ...`, values with spaces quoted. A log that is gone stops nothing."""
    words = [f"{time.time():.3f}", event]
    for name, value in fields.items():
        text = f"{value:.1f}" if isinstance(value, float) else str(value)
        words.append(f"{name}={ascii(text) if ' ' in text or not text.isprintable() else text}")
    try:
        sys.stderr.write(" ".join(words) + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass
