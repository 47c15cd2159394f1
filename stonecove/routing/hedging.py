"""The budget of hedged requests and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from stonecove.routing.actions import RETRY_LEASE, Action, RequestLease

if TYPE_CHECKING:
    from stonecove.routing.leased_budget import LeasedBudget

RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 20.0


class RetryBudget:
    """Limit retries to a fraction of the requests, so that they cannot amplify an overload."""

    def __init__(self) -> None:
        self.tokens = self.max_tokens = MAX_RETRY_TOKENS
        self.leased: LeasedBudget | None = None

    def limit(self, fraction: float) -> None:
        """Limit the saved tokens to this fraction of the usual maximum; the others come from leases."""
        self.max_tokens = max(1.0, MAX_RETRY_TOKENS * fraction)
        self.tokens = min(self.tokens, self.max_tokens)

    def earn(self) -> None:
        """Add the fraction of a token that one request earns."""
        self.tokens = min(self.max_tokens, self.tokens + RETRY_TOKENS_PER_REQUEST)

    def refund(self) -> None:
        """Return the token of a hedged request that turned out to be needed."""
        self.tokens = min(self.max_tokens, self.tokens + 1.0)

    def try_spend(self, now_ms: float, actions: list[Action]) -> bool:
        """Spend a token, or request a lease and spend from an active one; return whether there was one."""
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return True
        if self.leased is None:
            return False
        actions.append(RequestLease(RETRY_LEASE, 1.0, MAX_RETRY_TOKENS, 0.0, 1.0, False))
        return self.leased.spend(now_ms, RETRY_LEASE, 1.0)
