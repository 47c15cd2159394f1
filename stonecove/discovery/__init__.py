"""Membership events, as every source of endpoints and purges reports them to the router's core."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from stonecove.routing.endpoints import Node


class Member(NamedTuple):
    """A listed node and the address at which it accepts the router's connections."""

    node: Node
    host: str
    port: int


class MembersUpdate(NamedTuple):
    """A complete list of members, or the members that have changed."""

    is_snapshot: bool
    members: tuple[Member, ...]


class PurgeUpdate(NamedTuple):
    """The purge of an object, or of a group if the key is 0, in Unix milliseconds."""

    purged_at_ms: float
    group: int
    key: int


MembershipEvent = MembersUpdate | PurgeUpdate


class MembershipSink(Protocol):
    """A receiver of membership events, which are delivered in order."""

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Process one event of the membership source."""


class Membership(Protocol):
    """A source of membership events that reports every change to a sink while it runs."""

    async def run(self, sink: MembershipSink) -> None:
        """Follow the list until cancelled; network errors are handled and never raised."""
