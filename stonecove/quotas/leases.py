"""Leases of a shared budget, without I/O: one lessor grants them, holders spend them within the common limit.

The limit (WIRE 2, rule 4): within any window of length W, a node in slow start is sent no more work than
M x P x W x C (overload multiple, present fraction of its capacity, window, capacity). Routers that know
nothing of each other divide this by their number: each keeps to 1/N of it, and what one does not use is lost.
With leases, a fraction of the limit stays with the local budgets of the N routers, which need no lessor; the
remainder is granted as leases to the routers that have use for it.

Invariant, for every window of length W: unleased fraction x limit (all local budgets together) + the work
spent from leases <= limit.

- A lease is valid for its lifetime from the moment the holder *requested* it, by the holder's own steady
  clock. The lessor books it at the moment it grants, which is later; so a lease cannot be spent later than
  one lifetime after it was booked.
- The lessor grants no more than (1 - unleased fraction) x limit within any W + lifetime. What is spent within
  W was granted within W + lifetime before the end of the window, which gives the invariant. The limit is the
  one reported last: it rises as a node warms up, and is computed for the lowest capacity the node can have.
- Work that is returned unspent counts as not granted; the leases of a dead holder expire like any other.
- A grant that arrives twice, or answers an abandoned request, is ignored by its number. A request that is
  repeated under its number gets the same lease, once.
- A lessor without knowledge of the past grants nothing for W + lifetime: no journal is needed for the
  invariant. A steady clock that jumps back (another boot) counts as having no knowledge.

Times are seconds of a steady clock that all processes of a host share; work is in the unit of the limit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

UNLEASED_FRACTION = 0.3  # fraction of the limit that stays with the local budgets
FULL_FRACTION_HOLDERS = 5  # with more holders that fraction shrinks
LIFETIME_IN_WINDOWS = 0.125  # granted work stays booked for a lease's lifetime beyond the window
LEASE_SIZE_FRACTION = 0.02  # size of one lease as a fraction of what is granted within a window


def unleased_fraction_for(holder_count: int) -> float:
    """Return the fraction of the limit that stays with the local budgets of so many holders.

    With many holders a local budget is too small for one unit of work, and all of them together lie idle.
    """
    return UNLEASED_FRACTION * min(1.0, FULL_FRACTION_HOLDERS / max(1, holder_count))


class Grant(NamedTuple):
    """A lease of this much work on a node, under the number of its request."""

    number: int
    node: int
    work: float


@dataclass(slots=True)
class _BookedGrant:
    booked_at_s: float
    holder: str
    number: int
    work: float


@dataclass(slots=True)
class _Account:
    """The grants for one node, newest last, and the limit in force."""

    limit: float
    grants: deque[_BookedGrant] = field(default_factory=deque)
    booked_work: float = 0.0


class Lessor:
    """Grant leases within the limit of each node."""

    def __init__(
        self,
        window_s: float,
        now_s: float,
        unleased_fraction: float = UNLEASED_FRACTION,
        lease_size_fraction: float = LEASE_SIZE_FRACTION,
        lifetime_in_windows: float = LIFETIME_IN_WINDOWS,
    ) -> None:
        """Grant nothing at first, for one window and lifetime: earlier grants are not known."""
        self.window_s = window_s
        self.lifetime_s = window_s * lifetime_in_windows
        self._unleased_fraction = unleased_fraction
        self._lease_size_fraction = lease_size_fraction
        self._no_grants_until_s = now_s + window_s + self.lifetime_s
        self._accounts: dict[int, _Account] = {}
        self._grants: dict[str, dict[int, Grant]] = {}  # by holder and number
        self._last_now_s = now_s
        self.granted_count = 0
        self.refused_count = 0

    def set_limit(self, node: int, limit: float, now_s: float) -> None:
        """Set the work that a node in slow start may get within one window from now on.

        The limit is reported again as it rises.
        """
        self._check_clock(now_s)
        account = self._accounts.get(node)
        if account is None:
            self._accounts[node] = _Account(limit)
        else:
            account.limit = limit

    def forget_node(self, node: int) -> None:
        """Drop the account of a node that has warmed up or was removed."""
        self._accounts.pop(node, None)

    def request_lease(
        self, holder: str, number: int, node: int, now_s: float, needed_work: float = 0.0
    ) -> Grant | None:
        """Return the lease for a holder's request with this number; None if nothing is available now.

        `needed_work` is the work that the holder has pending; a smaller lease is of no use to it. The more
        holders there are, the closer the size of a lease is to it: work that one of many does not spend in
        time is lost to all.
        """
        self._check_clock(now_s)
        if (known := self._grants.get(holder, {}).get(number)) is not None:
            return known
        account = self._accounts.get(node)
        if account is None or now_s < self._no_grants_until_s:
            self.refused_count += 1
            return None
        self._expire_grants(account, now_s)
        leasable = (1.0 - self._unleased_fraction) * account.limit
        size = leasable * self._lease_size_fraction
        if needed_work > 0:
            size = max(needed_work, size / max(1, len(self._grants)))
        work = min(size, leasable - account.booked_work)
        if work < max(min(needed_work, size), size * 0.5):
            self.refused_count += 1
            return None
        account.grants.append(_BookedGrant(now_s, holder, number, work))
        account.booked_work += work
        grant = Grant(number, node, work)
        self._grants.setdefault(holder, {})[number] = grant
        self.granted_count += 1
        return grant

    def return_lease(self, holder: str, number: int, unspent: float, now_s: float) -> None:
        """Take back the unspent work of a lease.

        A lease that was returned before changes nothing, and no more than was granted is taken back.
        """
        self._check_clock(now_s)
        grant = self._grants.get(holder, {}).pop(number, None)
        if grant is None:
            return
        account = self._accounts.get(grant.node)
        for booked in account.grants if account else ():
            if booked.holder == holder and booked.number == number and account is not None:
                returned = min(max(0.0, unspent), booked.work)
                booked.work -= returned
                account.booked_work -= returned
                return

    def remove_holder(self, holder: str) -> None:
        """Forget a departed holder's requests. Its leases may still be spent, so they only expire."""
        self._grants.pop(holder, None)

    def booked_work(self, node: int, now_s: float) -> float:
        """Return the work that was granted and has not expired."""
        account = self._accounts.get(node)
        if account is None:
            return 0.0
        self._expire_grants(account, now_s)
        return account.booked_work

    def _check_clock(self, now_s: float) -> None:
        if (
            now_s < self._last_now_s
        ):  # the clock was set back: the age of earlier grants is not known any more
            self._accounts.clear()
            self._grants.clear()
            self._no_grants_until_s = now_s + self.window_s + self.lifetime_s
        self._last_now_s = now_s

    def _expire_grants(self, account: _Account, now_s: float) -> None:
        expired_until_s = now_s - self.window_s - self.lifetime_s
        while account.grants and account.grants[0].booked_at_s <= expired_until_s:
            expired = account.grants.popleft()
            account.booked_work -= expired.work
            holder_grants = self._grants.get(expired.holder)
            if holder_grants is not None:
                holder_grants.pop(expired.number, None)
        if not account.grants:
            account.booked_work = 0.0  # rounding errors do not accumulate


@dataclass(slots=True)
class _Lease:
    unspent: float
    expires_at_s: float
    number: int


class LeaseHolder:
    """Hold the leases of one router. It never waits: without a lease, the local budget decides."""

    def __init__(self, lifetime_s: float) -> None:
        """`lifetime_s` is how long a lease is valid after it was requested."""
        self._lifetime_s = lifetime_s
        self._last_number = 0
        self._requests: dict[int, tuple[int, float]] = {}  # by number: the node, and when it was requested
        self._pending_numbers: dict[int, int] = {}  # by node: the number of the request under way
        self._leases: dict[int, deque[_Lease]] = {}
        self._last_now_s = 0.0
        self._expired: list[tuple[int, float]] = []  # leases to be returned: number, unspent work
        self.ignored_grants = 0  # received after their lease expired, or without a pending request

    def begin_request(self, node: int, now_s: float) -> int | None:
        """Return the number of a new request for a lease; None while one is under way for this node."""
        self._check_clock(now_s)
        number = self._pending_numbers.get(node)
        if number is not None and now_s < self._requests[number][1] + self._lifetime_s:
            return None
        if number is not None:
            del self._requests[number]  # abandoned: its grant would have expired
        self._last_number += 1
        self._requests[self._last_number] = node, now_s
        self._pending_numbers[node] = self._last_number
        return self._last_number

    def accept_grant(self, grant: Grant, now_s: float) -> bool:
        """Add a lease; return False for a grant that is late, arrives twice or was never requested."""
        self._check_clock(now_s)
        request = self._requests.get(grant.number)
        if request is None or request[0] != grant.node:
            self.ignored_grants += 1
            return False
        self.end_request(grant.number)  # whether or not the grant is in time
        if not request[1] <= now_s < request[1] + self._lifetime_s:
            self.ignored_grants += 1
            return False
        lease = _Lease(grant.work, request[1] + self._lifetime_s, grant.number)
        self._leases.setdefault(grant.node, deque()).append(lease)
        return True

    def pop_leases(self, node: int) -> list[tuple[int, float, float]]:
        """Hand a node's leases over to the caller, to be spent there: number, work, expiry in seconds."""
        return [(lease.number, lease.unspent, lease.expires_at_s) for lease in self._leases.pop(node, ())]

    def end_request(self, number: int) -> None:
        """End a request, so that another lease for its node can be requested."""
        request = self._requests.pop(number, None)
        if request is not None and self._pending_numbers.get(request[0]) == number:
            del self._pending_numbers[request[0]]

    def spend(self, node: int, work: float, now_s: float) -> bool:
        """Spend the work if the node's leases cover all of it; return whether they did."""
        self._check_clock(now_s)
        leases = self._leases.get(node)
        if not leases:
            return False
        while leases and not now_s < leases[0].expires_at_s:
            expired = leases.popleft()
            self._expired.append((expired.number, expired.unspent))
        if sum(lease.unspent for lease in leases) < work:
            return False
        while work > 0.0 and leases:
            spent = min(work, leases[0].unspent)
            leases[0].unspent -= spent
            work -= spent
            if leases[0].unspent <= 0.0:
                leases.popleft()
        return True

    def unspent_work(self, node: int, now_s: float) -> float:
        """Return the work that may still be spent on a node."""
        return sum(lease.unspent for lease in self._leases.get(node, ()) if now_s < lease.expires_at_s)

    def pop_expired(self, now_s: float) -> list[tuple[int, float]]:
        """Return the expired leases with unspent work, each once, to be returned: number, unspent work."""
        self._check_clock(now_s)
        for node, leases in list(self._leases.items()):
            while leases and not now_s < leases[0].expires_at_s:
                expired = leases.popleft()
                self._expired.append((expired.number, expired.unspent))
            if not leases:
                del self._leases[node]
        found, self._expired = [each for each in self._expired if each[1] > 0], []
        return found

    def _check_clock(self, now_s: float) -> None:
        """Drop everything after the clock was set back, or leases would be valid beyond their lifetime."""
        if now_s < self._last_now_s:
            self._leases.clear()
            self._requests.clear()
            self._pending_numbers.clear()
            self._expired.clear()
        self._last_now_s = now_s
