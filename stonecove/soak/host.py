"""Monitors for a soak's host: thread wake-up delays, and the routers' descriptors and memory."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from stonecove.trial.processes import RouterProcess

SLEEP_STEP_S = 0.005
SAMPLE_INTERVAL_S = 0.2
_KB_PER_MB = 1024


class HostLag:
    """Measures how late a sleeping thread of this process wakes up."""

    def __init__(self) -> None:
        """Start the measuring thread."""
        # Unix seconds and delay in seconds; only sleeps that took over two steps.
        self._delays: list[tuple[float, float]] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        last_woke_at = time.time()
        while not self._stopped.is_set():
            time.sleep(SLEEP_STEP_S)
            now = time.time()
            if now - last_woke_at > 2.0 * SLEEP_STEP_S:
                self._delays.append((now, now - last_woke_at - SLEEP_STEP_S))
            last_woke_at = now

    def worst_s(self, since: float, until: float) -> float:
        """Return the longest delay in seconds that ended between two Unix times or shortly afterwards."""
        return max(
            (delay_s for woke_at, delay_s in self._delays if since <= woke_at <= until + 0.1 + delay_s),
            default=0.0,
        )

    def close(self) -> None:
        """Stop the measuring thread and wait for it."""
        self._stopped.set()
        self._thread.join()


class ProcessUsage:
    """Samples the peak descriptor count and memory of each running router."""

    def __init__(self, routers: list[RouterProcess]) -> None:
        """Start the sampling thread."""
        self.descriptors = [0] * len(routers)
        self.memory_mb = [0.0] * len(routers)
        self._routers = routers
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            for router_index, router in enumerate(self._routers):
                if router.process is not None and router.running:
                    self._sample(router_index, router.process.pid)

    def _sample(self, router_index: int, pid: int) -> None:
        try:
            descriptor_count = sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
            status = Path(f"/proc/{pid}/status").read_text()
        except OSError:  # the process has just exited
            return
        self.descriptors[router_index] = max(self.descriptors[router_index], descriptor_count)
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.memory_mb[router_index] = max(
                    self.memory_mb[router_index], int(line.split()[1]) / _KB_PER_MB
                )

    def close(self) -> None:
        """Stop the sampling thread and wait for it."""
        self._stopped.set()
        self._thread.join()
