"""Claims of a token, independent of its format, and the parts of a request that they are checked against."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from stonecove.access.match import glob

Network = IPv4Network | IPv6Network


class Format(Enum):
    """Token formats."""

    CLOUDFRONT = "cloudfront"
    EDGE_AUTH = "edge-auth"
    CDNI = "cdni"
    BEARER = "bearer"


class TokenError(Exception):
    """A token that cannot be parsed; the text gives the reason and contains no secrets."""


@dataclass(frozen=True, slots=True)
class Request:
    """The parts of a request that tokens are checked against. `target` is path and query, unchanged."""

    method: str
    scheme: str
    host: str
    target: str
    source: str  # the client's address
    depot: str
    authorization: str = ""
    cookies: tuple[tuple[str, str], ...] = ()

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query without the question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class Resource:
    """Resource that a token covers.

    `kind` is a glob on the `path` or on the `url`, or a `regex` or `hash` of the URL (RFC 9246).
    """

    kind: str  # path, url, regex, hash
    pattern: str

    def covers(self, request: Request, url_without_token: str) -> bool:
        """Return whether the request is for this resource."""
        match self.kind:
            case "path":
                return glob(self.pattern, request.path)
            case "url":
                return glob(self.pattern, url_without_token)
            case "regex":
                import re2  # linear time for any expression, without catastrophic backtracking

                return re2.fullmatch(self.pattern, url_without_token) is not None
            case "hash":
                import base64
                import hashlib

                digest = base64.urlsafe_b64encode(hashlib.sha256(url_without_token.encode()).digest()).rstrip(
                    b"="
                )
                return digest.decode() == self.pattern.rstrip("=")
        return False


@dataclass(frozen=True, slots=True)
class Renewal:
    """Renewal of a token with each response (RFC 9246, 2.1.12 to 2.1.15)."""

    lifetime_s: int  # of the next token
    path_segments: int  # of the cookie's path


@dataclass(frozen=True, slots=True)
class Grant:
    """Claims of a token. Times are Unix seconds; an empty tuple or text means no restriction."""

    format: Format
    expires: float
    not_before: float = 0.0
    issued: float = 0.0
    subject: str = ""
    issuer: str = ""
    audience: tuple[str, ...] = ()
    resources: tuple[Resource, ...] = ()
    sources: tuple[Network, ...] = ()
    depots: tuple[str, ...] = ()
    methods: tuple[str, ...] = ()
    token_id: str = ""
    once: bool = False  # single-use
    renewal: Renewal | None = None
    next_claims_json: str = field(default="", compare=False)  # claims of the renewed token

    def allows_source(self, address: str) -> bool:
        """Return whether the token may be used from this address."""
        if not self.sources:
            return True
        try:
            parsed_address = ip_address(address)
        except ValueError:
            return False
        return any(
            parsed_address in network for network in self.sources if network.version == parsed_address.version
        )


@dataclass(frozen=True, slots=True)
class Token:
    """A parsed token. Nothing in it is trusted until its signature is verified."""

    grant: Grant
    key_id: str
    algorithm: str
    message: bytes  # the signed bytes
    signature: bytes
    raw: str = field(repr=False)  # as presented, part of the signature cache's key
    url_without_token: str = ""


def parse_networks(text: str) -> tuple[Network, ...]:
    """Return a network from CIDR notation or an address; raises TokenError."""
    try:
        return (ip_network(text, strict=False),)
    except ValueError:
        raise TokenError("source is not a network") from None
