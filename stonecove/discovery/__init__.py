"""What the core is told of nodes and purges, whoever keeps the list."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from stonecove.routing.endpoints import Node


class Member(NamedTuple):
    """A node as listed, and where it listens for us."""

    node: Node
    host: str
    port: int


class MembersUpdate(NamedTuple):
    """The whole list, or what has changed in it."""

    whole: bool
    members: tuple[Member, ...]


class PurgeUpdate(NamedTuple):
    """An object (or with key 0 a group) was purged at that Unix millisecond."""

    time: float
    group: int
    key: int


Told = MembersUpdate | PurgeUpdate


class MembershipSink(Protocol):
    """Who takes in what is told, in order."""

    def told(self, event: Told) -> None:
        """One event of the list's keeper."""


class Membership(Protocol):
    """A keeper of the list: tells the sink of every change for as long as it runs."""

    async def run(self, sink: MembershipSink) -> None:
        """Follows the list; never ends by itself and lets no error of the network out."""
