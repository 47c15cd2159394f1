"""Watches the host of a soak: how late its threads run, and what the routers' processes use."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from stonecove.trial.processes import RouterProcess

STEP_S = 0.005
SAMPLE_S = 0.2
_KB = 1024


class HostLag:
    """Measures by how much a sleeping thread of this process wakes late."""

    def __init__(self) -> None:
        """Begin to measure."""
        self._late: list[tuple[float, float]] = []  # when, and by how many seconds; those over a step alone
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self) -> None:
        last = time.time()
        while not self._over.is_set():
            time.sleep(STEP_S)
            now = time.time()
            if now - last > 2.0 * STEP_S:
                self._late.append((now, now - last - STEP_S))
            last = now

    def worst(self, since: float, until: float) -> float:
        """Return the longest delay, in seconds, that ended between two Unix seconds or just after them."""
        return max((late for at, late in self._late if since <= at <= until + 0.1 + late), default=0.0)

    def close(self) -> None:
        """Stop measuring."""
        self._over.set()
        self._thread.join()


class ProcessUse:
    """Samples descriptors and memory of routers while they run."""

    def __init__(self, routers: list[RouterProcess]) -> None:
        """Begin to sample."""
        self.descriptors = [0] * len(routers)
        self.memory_mb = [0.0] * len(routers)
        self._routers = routers
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self) -> None:
        while not self._over.wait(SAMPLE_S):
            for place, router in enumerate(self._routers):
                if router.process is not None and router.running:
                    self._sample(place, router.process.pid)

    def _sample(self, place: int, pid: int) -> None:
        try:
            count = sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
            status = Path(f"/proc/{pid}/status").read_text()
        except OSError:  # it has ended just now
            return
        self.descriptors[place] = max(self.descriptors[place], count)
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.memory_mb[place] = max(self.memory_mb[place], int(line.split()[1]) / _KB)

    def close(self) -> None:
        """Stop sampling."""
        self._over.set()
        self._thread.join()
