"""Decides whether a request is admitted: one decision with a reason, made synchronously and without I/O.

Cheap checks come first, signatures late, and state changes for an accepted request last:

1. the canonical path, the policy with the longest matching prefix, format and size of the token
2. times, resource, method, source, depot, audience, validity and algorithm of the key
3. the signature: from the cache, else by verification, which is limited to a rate (the highest-priority class
   has a reserved share)
4. revocations, the grace period of a started object, rate and concurrency, and replay of a single-use token

All tokens of one request have to carry the same claims. A refused client gets the status only; the reason
goes to the log.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from dataclasses import dataclass, field, replace

from stonecove.access import canon, formats
from stonecove.access.grants import Format, Grant, Request, Token, TokenError
from stonecove.access.keys import HMAC_DIGESTS, Key, KeyRing
from stonecove.access.rates import SubjectLimits
from stonecove.access.reasons import Reason
from stonecove.access.revoked import RevocationList
from stonecove.access.routes import Policy, Routes
from stonecove.access.seen import ReplayCache, ReplayStatus
from stonecove.access.started import StartedObjects
from stonecove.access.verdicts import SignatureBudget, SignatureCache

HMAC_VERIFICATION_COST = 0.05  # relative to an RSA or ECDSA verification


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on one request. `log_detail` is for the log and contains no secrets."""

    reason: Reason
    log_detail: str = ""
    subject: str = ""
    key_id: str = ""
    retry_after_s: float = 0.0  # delay after which the limits may admit a request
    cookie: str = ""  # renewed token to set in the response
    cookie_path_segments: int = 0  # number of leading path segments in the cookie's path
    concurrency_subject: str = ""  # subject under which this request counts as open
    single_use: tuple[str, float] = ("", 0.0)  # id of a single-use token, and its expiry

    @property
    def admitted(self) -> bool:
        """Return whether the request is admitted."""
        return self.reason in (Reason.GOOD, Reason.OPEN)


@dataclass(slots=True)
class Limits:
    """Limits on the state and the work of a gate."""

    seen: int = 1_000_000  # ids of single-use tokens
    checks: float = 2000.0  # signature verifications a second


@dataclass(slots=True)
class Gate:
    """Policies, keys and state of token checks. `now` is Unix seconds, `steady` seconds of a steady clock."""

    routes: Routes
    ring: KeyRing
    limits: Limits = field(default_factory=Limits)
    revoked: RevocationList = field(default_factory=RevocationList)
    counts: Counter[str] = field(default_factory=Counter)
    _replay_cache: ReplayCache = field(init=False)
    _signature_budget: SignatureBudget = field(init=False)
    _signature_cache: SignatureCache = field(default_factory=SignatureCache)
    _started_objects: StartedObjects = field(default_factory=StartedObjects)
    _subject_limits: SubjectLimits = field(default_factory=SubjectLimits)

    def __post_init__(self) -> None:
        self._replay_cache = ReplayCache(self.limits.seen)
        self._signature_budget = SignatureBudget(self.limits.checks)

    def replace_keys(self, ring: KeyRing, routes: Routes) -> None:
        """Replace keys and policies; used ids, started objects and revocations stay."""
        self.ring, self.routes = ring, routes
        self._signature_cache.clear()

    def check(self, request: Request, item: str, now: float, steady: float) -> Decision:
        """Decide on a request, and count the reason. `item` names the object that the path is a chunk of."""
        decision = self._decide(request, item, now, steady)
        self.counts[decision.reason.value] += 1
        return decision

    def finish_request(self, decision: Decision, executed: bool) -> None:
        """Release the state of an admitted request that is finished.

        With `executed` false the request was certainly not executed, so that its single-use token may be
        used again.
        """
        if decision.concurrency_subject:
            self._subject_limits.leave(decision.concurrency_subject)
        if decision.single_use[0] and not executed:
            self._replay_cache.forget(*decision.single_use)

    def _decide(self, request: Request, item: str, now: float, steady: float) -> Decision:
        if path_error := canon.path_error(request.path):
            return Decision(Reason.PATH, path_error)
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
        decision = Decision(Reason.GOOD, "", token.grant.subject, token.key_id)
        key = self.ring.keys.get(token.key_id)
        reason, detail = self._check_claims(request, policy, token, key, now)
        expired = now > token.grant.expires + policy.skew
        if reason is Reason.GOOD and expired and not policy.grace:
            reason, detail = Reason.EXPIRED, f"{now - token.grant.expires:.0f} s ago"
        if reason is not Reason.GOOD or key is None:
            return replace(decision, reason=reason, log_detail=detail)
        digests = [SignatureCache.digest(one.raw, one.message, one.signature, one.key_id) for one in tokens]
        token_digest = digests[0]
        for one, digest in zip(tokens, digests, strict=True):
            reason = self._check_signature(one, digest, policy, steady)
            if reason is not Reason.GOOD:
                return replace(decision, reason=reason)
        if (revocation := self._revocation_reason(token, now)) is not None:
            return replace(decision, reason=revocation)
        holder = token.grant.subject or request.source
        if expired:
            if not self._started_objects.within_grace(
                token_digest,
                f"{holder} {request.source}",
                item,
                token.grant.expires,
                now,
                policy.grace + policy.skew,
            ):
                return replace(
                    decision, reason=Reason.EXPIRED, log_detail=f"{now - token.grant.expires:.0f} s ago"
                )
        else:
            self._started_objects.record(token_digest, f"{holder} {request.source}", item, now)
        return self._consume(
            replace(decision, subject=holder), policy, token, token_digest.hex(), now, steady
        )

    def _check_claims(
        self, request: Request, policy: Policy, token: Token, key: Key | None, now: float
    ) -> tuple[Reason, str]:
        """Check all that needs no signature; return the reason and a detail for the log."""
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
        if grant.resources and not any(
            resource.covers(request, token.url_without_token) for resource in grant.resources
        ):
            return Reason.RESOURCE, ""
        if request.method not in policy.methods or (grant.methods and request.method not in grant.methods):
            return Reason.METHOD, request.method
        if not grant.allows_source(request.source):
            return Reason.SOURCE, request.source
        if (grant.depots or policy.depot) and request.depot not in grant.depots:
            return Reason.DEPOT, request.depot
        if policy.audience and policy.audience not in grant.audience:
            return Reason.AUDIENCE, ""
        if policy.issuer and policy.issuer != grant.issuer:
            return Reason.ISSUER, ""
        return Reason.GOOD, ""

    def _check_signature(self, token: Token, digest: bytes, policy: Policy, steady: float) -> Reason:
        """Check a signature: from the cache by this digest, else by verification if the budget allows it."""
        key = self.ring.keys.get(token.key_id)
        if key is None:
            return Reason.UNKNOWN_KEY
        if not formats.algorithm_fits(token.algorithm, key):
            return Reason.ALGORITHM
        valid = self._signature_cache.lookup(digest)
        if valid is None:
            cost = HMAC_VERIFICATION_COST if key.algorithm in HMAC_DIGESTS else 1.0
            if not self._signature_budget.take(steady, policy.floor, cost):
                return Reason.BUSY
            valid = key.verify(token.message, token.signature)
            self._signature_cache.store(digest, valid)
        return Reason.GOOD if valid else Reason.SIGNATURE

    def _revocation_reason(self, token: Token, now: float) -> Reason | None:
        grant = token.grant
        for kind, revoked_name, reason in (
            ("key", token.key_id, Reason.REVOKED_KEY),
            ("subject", grant.subject, Reason.REVOKED_SUBJECT),
            ("token", grant.token_id, Reason.REVOKED_TOKEN),
        ):
            if self.revoked.covers(kind, revoked_name, grant.issued, now):
                return reason
        return None

    def _consume(
        self, decision: Decision, policy: Policy, token: Token, digest: str, now: float, steady: float
    ) -> Decision:
        """Count an accepted request against the rate, the concurrent requests and the single-use tokens."""
        # Limits are kept by policy too, so that reads of a subject do not use up the rate of its writes.
        subject = f"{policy.prefix} {decision.subject}"
        if retry_after_s := self._subject_limits.take(subject, policy.rate, policy.burst, steady):
            return replace(decision, reason=Reason.RATE, retry_after_s=retry_after_s)
        if policy.concurrent:
            if not self._subject_limits.enter(subject, policy.concurrent):
                return replace(decision, reason=Reason.CONCURRENCY, retry_after_s=1.0)
            decision = replace(decision, concurrency_subject=subject)
        if policy.once or token.grant.once:
            single_use_id = f"{token.key_id} {token.grant.token_id or digest}"
            expires = token.grant.expires + policy.skew + policy.grace
            replay_status = self._replay_cache.check_and_add(single_use_id, expires, now, policy.floor)
            if replay_status is not ReplayStatus.NEW:
                self.finish_request(decision, True)
                reason = Reason.REPLAYED if replay_status is ReplayStatus.SEEN_BEFORE else Reason.REPLAY_FULL
                return replace(decision, reason=reason, concurrency_subject="")
            decision = replace(decision, single_use=(single_use_id, expires))
        if token.grant.renewal is not None:
            decision = self._with_renewed_token(decision, token.grant, now)
        return decision

    def _with_renewed_token(self, decision: Decision, grant: Grant, now: float) -> Decision:
        """Add the next token of a renewal chain (RFC 9246, 3.2) to an accepted decision.

        It has the same claims with a new expiry, signed by the newest key.
        """
        signer = self.ring.signer(now, Format.CDNI.value)
        if signer is None or grant.renewal is None:
            return decision
        claims = {
            **json.loads(grant.next_claims_json),
            "exp": int(now + grant.renewal.lifetime_s),
            "iat": int(now),
        }
        return replace(
            decision,
            cookie=formats.sign_jwt(signer, claims),
            cookie_path_segments=grant.renewal.path_segments,
        )


def cookie_path(path: str, segments: int) -> str:
    """Return the path of a renewed cookie: the first `segments` of the request's path (RFC 9246, 2.1.13)."""
    return "/" + "/".join(path.strip("/").split("/")[:segments]) if segments else "/"
