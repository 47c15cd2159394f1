"""A trio nursery in a thread of its own, beside a trial that waits for processes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import trio


class TrioThread:
    """What runs in it may be changed from any other thread."""

    def __init__(self) -> None:
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,), daemon=True)
        self._thread.start()
        self._ready.wait()

    def close(self) -> None:
        """Ends all that runs there."""
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
