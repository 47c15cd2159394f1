"""Whether a request may go in: one answer with a reason, from what is known, at once. No I/O.

What costs little comes first, signatures late, what is remembered of a good request last:

1. the path's one form, the policy of the longest prefix, the token's form and size
2. times, resource, method, source, depot, audience, the key's times and its one algorithm
3. the signature: by memory, else by a check, of which so many a second are made (the valued class has a part)
4. revocations, the grace of a started object, rate and concurrency, and whether a token for one request was
   used before

Several tokens in one request have to say the same. A refusal tells the client a status alone, the log the
reason.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from dataclasses import dataclass, field, replace

from stonecove.access import canon, formats
from stonecove.access.grants import Format, Grant, Request, Token, TokenError
from stonecove.access.keys import HMACS, Key, KeyRing
from stonecove.access.rates import Rates
from stonecove.access.reasons import Reason
from stonecove.access.revoked import Revoked
from stonecove.access.routes import Policy, Routes
from stonecove.access.seen import Seen, SeenIds
from stonecove.access.started import Started
from stonecove.access.verdicts import Verdicts, Work

HMAC_COST = 0.05  # of a check, in those of an RSA or ECDSA signature


@dataclass(frozen=True, slots=True)
class Decision:
    """What was decided of one request. `why` is for the log: it holds nothing secret."""

    reason: Reason
    why: str = ""
    subject: str = ""
    key_id: str = ""
    wait: float = 0.0  # seconds after which a rate lets one go again
    cookie: str = ""  # a renewed token, to be set
    cookie_depth: int = 0  # segments of its path
    enters: str = ""  # the subject whose open requests count this one
    seen: tuple[str, float] = ("", 0.0)  # the id of a token for one request, and until when it is good

    @property
    def good(self) -> bool:
        """Whether it may go in."""
        return self.reason in (Reason.GOOD, Reason.OPEN)


@dataclass(slots=True)
class Limits:
    """Bounds of what is remembered, and of work."""

    seen: int = 1_000_000
    checks: float = 2000.0  # signatures a second


@dataclass(slots=True)
class Gate:
    """All that decides over tokens. `now` is Unix seconds; `steady` seconds of a steady clock."""

    routes: Routes
    ring: KeyRing
    limits: Limits = field(default_factory=Limits)
    revoked: Revoked = field(default_factory=Revoked)
    counts: Counter[str] = field(default_factory=Counter)
    _seen: SeenIds = field(init=False)
    _work: Work = field(init=False)
    _verdicts: Verdicts = field(default_factory=Verdicts)
    _started: Started = field(default_factory=Started)
    _rates: Rates = field(default_factory=Rates)

    def __post_init__(self) -> None:
        self._seen = SeenIds(self.limits.seen)
        self._work = Work(self.limits.checks)

    def rekey(self, ring: KeyRing, routes: Routes) -> None:
        """Other keys and policies from now on; what was seen, started and revoked stays."""
        self.ring, self.routes = ring, routes
        self._verdicts.forget()

    def check(self, request: Request, item: str, now: float, steady: float) -> Decision:
        """Decides. `item` names the object of which this is a part."""
        decision = self._check(request, item, now, steady)
        self.counts[decision.reason.value] += 1
        return decision

    def over(self, decision: Decision, ran: bool) -> None:
        """The request has its final answer. One that surely did not run has not used up its token."""
        if decision.enters:
            self._rates.leave(decision.enters)
        if decision.seen[0] and not ran:
            self._seen.forget(*decision.seen)

    # -- in order --

    def _check(self, request: Request, item: str, now: float, steady: float) -> Decision:
        if wrong := canon.wrong_with(request.path):
            return Decision(Reason.PATH, wrong)
        policy = self.routes.find(request.path)
        if policy is None or not policy.token:
            return Decision(Reason.OPEN)
        try:
            tokens = formats.read(request, policy.edge_name, policy.edge_key)
        except TokenError as error:
            return Decision(Reason.TOO_LONG if str(error) == "too long" else Reason.MALFORMED, str(error))
        if not tokens:
            return Decision(Reason.MISSING)
        token = tokens[0]
        if any(other.grant != token.grant for other in tokens[1:]):
            return Decision(Reason.CONFLICT, "tokens that do not say the same", token.grant.subject)
        told = Decision(Reason.GOOD, "", token.grant.subject, token.key_id)
        key = self.ring.keys.get(token.key_id)
        reason, why = self._plain(request, policy, token, key, now)
        expired = now > token.grant.expires + policy.skew
        if reason is Reason.GOOD and expired and not policy.grace:
            reason, why = Reason.EXPIRED, f"{now - token.grant.expires:.0f} s ago"
        if reason is not Reason.GOOD or key is None:
            return replace(told, reason=reason, why=why)
        names = [Verdicts.name(one.raw, one.message, one.signature, one.key_id) for one in tokens]
        name = names[0]
        for one, its_name in zip(tokens, names, strict=True):
            reason = self._signed(one, its_name, policy, steady)
            if reason is not Reason.GOOD:
                return replace(told, reason=reason)
        if (revoked := self._revoked(token, now)) is not None:
            return replace(told, reason=revoked)
        holder = token.grant.subject or request.source
        if expired:
            if not self._started.may_go_on(
                name, f"{holder} {request.source}", item, token.grant.expires, now, policy.grace + policy.skew
            ):
                return replace(told, reason=Reason.EXPIRED, why=f"{now - token.grant.expires:.0f} s ago")
        else:
            self._started.good(name, f"{holder} {request.source}", item, now)
        return self._used(replace(told, subject=holder), policy, token, name.hex(), now, steady)

    def _plain(
        self, request: Request, policy: Policy, token: Token, key: Key | None, now: float
    ) -> tuple[Reason, str]:
        """What can be told without a signature."""
        grant = token.grant
        if policy.formats and grant.format not in policy.formats:
            return Reason.FORMAT, grant.format.value
        if key is None or (key.formats and grant.format.value not in key.formats):
            return Reason.UNKNOWN_KEY, ""
        if key.retired:
            return Reason.KEY_RETIRED, ""
        if now < key.not_before - policy.skew:
            return Reason.KEY_NOT_YET, ""
        if not formats.algorithm_fits(token.algorithm, key):
            return Reason.ALGORITHM, f"{token.algorithm} with a key for {key.algorithm}"
        if now > grant.expires + policy.skew + policy.grace:
            return Reason.EXPIRED, f"{now - grant.expires:.0f} s ago"
        if now < grant.not_before - policy.skew or now < grant.issued - policy.skew:
            return Reason.NOT_YET, f"in {max(grant.not_before, grant.issued) - now:.0f} s"
        if not math.isfinite(grant.expires) or grant.expires > now + policy.longest + policy.skew:
            return Reason.TOO_LONG_LIVED, ""
        if grant.resources and not any(one.covers(request, token.bare_url) for one in grant.resources):
            return Reason.RESOURCE, ""
        if request.method not in policy.methods or (grant.methods and request.method not in grant.methods):
            return Reason.METHOD, request.method
        if not grant.from_source(request.source):
            return Reason.SOURCE, request.source
        if (grant.depots or policy.depot) and request.depot not in grant.depots:
            return Reason.DEPOT, request.depot
        if policy.audience and policy.audience not in grant.audience:
            return Reason.AUDIENCE, ""
        if policy.issuer and policy.issuer != grant.issuer:
            return Reason.ISSUER, ""
        return Reason.GOOD, ""

    def _signed(self, token: Token, name: bytes, policy: Policy, steady: float) -> Reason:
        """By memory, under that name, else by a check if there is one left this second."""
        key = self.ring.keys.get(token.key_id)
        if key is None:
            return Reason.UNKNOWN_KEY
        if not formats.algorithm_fits(token.algorithm, key):
            return Reason.ALGORITHM
        known = self._verdicts.known(name)
        if known is None:
            cost = HMAC_COST if key.algorithm in HMACS else 1.0
            if not self._work.take(steady, policy.floor, cost):
                return Reason.BUSY
            known = key.verify(token.message, token.signature)
            self._verdicts.keep(name, known)
        return Reason.GOOD if known else Reason.SIGNATURE

    def _revoked(self, token: Token, now: float) -> Reason | None:
        grant = token.grant
        for kind, name, reason in (
            ("key", token.key_id, Reason.REVOKED_KEY),
            ("subject", grant.subject, Reason.REVOKED_SUBJECT),
            ("token", grant.token_id, Reason.REVOKED_TOKEN),
        ):
            if self.revoked.covers(kind, name, grant.issued, now):
                return reason
        return None

    def _used(
        self, told: Decision, policy: Policy, token: Token, name: str, now: float, steady: float
    ) -> Decision:
        """What a good request uses up: rate, a place among the open ones, a token for one request."""
        # By policy, too: what a subject asks of images takes nothing from its writes.
        subject = f"{policy.prefix} {told.subject}"
        if wait := self._rates.take(subject, policy.rate, policy.burst, steady):
            return replace(told, reason=Reason.RATE, wait=wait)
        if policy.concurrent:
            if not self._rates.enter(subject, policy.concurrent):
                return replace(told, reason=Reason.CONCURRENCY, wait=1.0)
            told = replace(told, enters=subject)
        if policy.once or token.grant.once:
            ident = f"{token.key_id} {token.grant.token_id or name}"
            expires = token.grant.expires + policy.skew + policy.grace
            found = self._seen.see(ident, expires, now, policy.floor)
            if found is not Seen.NEW:
                self.over(told, True)
                reason = Reason.REPLAYED if found is Seen.AGAIN else Reason.REPLAY_FULL
                return replace(told, reason=reason, enters="")
            told = replace(told, seen=(ident, expires))
        if token.grant.renewal is not None:
            told = self._renewed(told, token.grant, now)
        return told

    def _renewed(self, told: Decision, grant: Grant, now: float) -> Decision:
        """The next token of a chain (RFC 9246, 3.2): the same claims, a new expiry, by the newest key."""
        signer = self.ring.signer(now, Format.CDNI.value)
        if signer is None or grant.renewal is None:
            return told
        claims = {**json.loads(grant.renews), "exp": int(now + grant.renewal.lifetime), "iat": int(now)}
        return replace(told, cookie=formats.sign_jwt(signer, claims), cookie_depth=grant.renewal.depth)


def cookie_path(path: str, depth: int) -> str:
    """The path of a renewed cookie: so many segments of the request's (RFC 9246, 2.1.13)."""
    return "/" + "/".join(path.strip("/").split("/")[:depth]) if depth else "/"
