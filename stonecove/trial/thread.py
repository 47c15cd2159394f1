"""Runs a trio nursery in a thread of its own, beside a trial that blocks while it waits for processes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import trio


class TrioThread:
    """A nursery that runs in its own thread; other threads schedule changes in it."""

    def __init__(self) -> None:
        """Start the thread and wait until its nursery is open."""
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,), daemon=True)
        self._thread.start()
        self._ready.wait()

    def close(self) -> None:
        """Cancel all tasks and wait for the thread to end."""
        self._call(self._nursery.cancel_scope.cancel)
        self._thread.join()

    def _call(self, call: Callable[[], Any]) -> None:
        trio.from_thread.run_sync(call, trio_token=self._token)

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._ready.set()
            await trio.sleep_forever()
