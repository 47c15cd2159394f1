"""Keeps the router's own ephemeral node: made in each session, with the newest record. Knows no I/O."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err
from stonecove.protocols.zookeeper.session import Down, Expired, Reply, SessionEvent, Up
from stonecove.protocols.zookeeper.tree_watch import Ask
from stonecove.runtime.log_events import LogEvent


class Registrar:
    """One node below a path that may have to be made first.

    A node of our name that another session owns is that of our process before its restart, if its record
    says so (`ours`): it is deleted. Else the name is taken, and `say` tells so; the owner calls `again`
    after a while.
    """

    def __init__(
        self,
        path: str,
        name: str,
        record: bytes,
        ask: Ask,
        session: Callable[[], int],
        ours: Callable[[bytes], bool],
        say: Callable[..., None],
    ) -> None:
        self._path = path.rstrip("/")
        self._node = f"{self._path}/{name}"
        self._record = record
        self._ask = ask
        self._session = session
        self._ours = ours
        self._say = say
        self._up = False
        self._busy = False  # a request of ours is out
        self._told: bytes | None = (
            None  # the record that the node is known to hold; None: there is none of ours
        )
        self.taken = False  # the name is somebody else's
        self._retired = False
        self._heard: list[Callable[[], None]] = []

    def feed(self, event: SessionEvent) -> None:
        """One event of the session."""
        if isinstance(event, Up):
            self._up = True
            if not event.resumed:
                self._told, self._busy = None, False
            self._go_on()
        elif isinstance(event, (Down, Expired)):
            self._up = False

    def tell(self, record: bytes, heard: Callable[[], None] | None = None) -> None:
        """Another record; `heard` is called once the node holds it, or at once if it does."""
        self._record = record
        if heard is not None:
            self._heard.append(heard)
        self._go_on()

    def vanished(self) -> None:
        """Our node is gone, though nobody but its session should end it: it is made again."""
        if not self._busy:
            self._told = None
            self._go_on()

    def retire(self) -> None:
        """Another session keeps our node from now on: this one leaves it alone, and ends it with itself."""
        self._retired = True

    def again(self) -> None:
        """Another try for a name that was taken."""
        self.taken = False
        self._go_on()

    @property
    def settled(self) -> bool:
        """Whether the node holds the newest record."""
        return self._told == self._record

    def _go_on(self) -> None:
        if not self._up or self._busy or self.taken or self._retired:
            return
        if self._told == self._record:
            heard, self._heard = self._heard, []
            for call in heard:
                call()
            return
        self._busy = True
        record = self._record
        if self._told is None:
            self._ask(
                zk.Create(self._node, record, mode=zk.CreateMode.EPHEMERAL),
                partial(self._created, record),
            )
        else:
            self._ask(zk.SetData(self._node, record), partial(self._set, record))

    def _created(self, record: bytes, reply: Reply) -> None:
        self._busy = False
        if reply.error is Err.OK:
            self._told = record
            self._go_on()
        elif reply.error is Err.NO_NODE:
            self._busy = True
            self._make_parents(self._path)
        elif reply.error is Err.NODE_EXISTS:
            self._busy = True
            self._ask(zk.GetData(self._node), self._looked)
        elif reply.error is not Err.CONNECTION_LOSS:
            self._say(LogEvent.PRESENCE_WRITE_REJECTED, node=self._node, reason=reply.error.name)
            self.taken = True

    def _make_parents(self, path: str) -> None:
        """From the deepest upwards until one can be made, then down again."""
        self._ask(zk.Create(path), partial(self._made, path))

    def _made(self, path: str, reply: Reply) -> None:
        above = path.rpartition("/")[0]
        if reply.error is Err.NO_NODE and above:
            self._make_parents(above)
            return
        self._busy = False
        if reply.error in (Err.OK, Err.NODE_EXISTS):
            self._go_on()
        elif reply.error is not Err.CONNECTION_LOSS:
            self._say(LogEvent.PRESENCE_WRITE_REJECTED, node=path, reason=reply.error.name)
            self.taken = True

    def _looked(self, reply: Reply) -> None:
        self._busy = False
        if not isinstance(reply.result, zk.Data):
            if reply.error is not Err.CONNECTION_LOSS:
                self._go_on()
            return
        data, stat = reply.result
        if stat.ephemeral_owner == self._session():
            self._told = data  # our own create, whose reply was lost
            self._go_on()
        elif self._ours(data):
            self._busy = True
            self._ask(zk.Delete(self._node, stat.version), self._cleared)
        else:
            self._say(LogEvent.PRESENCE_NAME_CONFLICT, node=self._node, owner=f"{stat.ephemeral_owner:#x}")
            self.taken = True

    def _cleared(self, reply: Reply) -> None:
        self._busy = False
        if reply.error is not Err.CONNECTION_LOSS:
            self._go_on()

    def _set(self, record: bytes, reply: Reply) -> None:
        self._busy = False
        if reply.error is Err.OK:
            self._told = record
        elif reply.error is Err.NO_NODE:
            self._told = None
        elif reply.error is not Err.CONNECTION_LOSS:
            self._say(LogEvent.PRESENCE_WRITE_REJECTED, node=self._node, reason=reply.error.name)
            return
        self._go_on()
