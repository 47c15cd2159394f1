"""What a token says, whatever its format, and what a request presents."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from stonecove.access.match import glob

Network = IPv4Network | IPv6Network


class Format(Enum):
    """The formats of tokens."""

    CLOUDFRONT = "cloudfront"
    EDGE_AUTH = "edge-auth"
    CDNI = "cdni"
    BEARER = "bearer"


class TokenError(Exception):
    """A token that can't be read; the text tells why, and nothing of what is secret."""


@dataclass(frozen=True, slots=True)
class Request:
    """What a request presents. `target` is path with query as it came, `path` the path alone."""

    method: str
    scheme: str
    host: str
    target: str
    source: str  # address of who asks
    depot: str
    authorization: str = ""
    cookies: tuple[tuple[str, str], ...] = ()

    @property
    def path(self) -> str:
        """Without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Without the question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class Resource:
    """What may be asked for: a pattern of the `path` or the whole `url`; a `hash` or `regex` (RFC 9246)."""

    kind: str  # path, url, regex, hash
    pattern: str

    def covers(self, request: Request, bare_url: str) -> bool:
        """Whether the request is of it. `bare_url`: the URL without the token."""
        match self.kind:
            case "path":
                return glob(self.pattern, request.path)
            case "url":
                return glob(self.pattern, bare_url)
            case "regex":
                import re2  # linear in the text, whatever the expression

                return re2.fullmatch(self.pattern, bare_url) is not None
            case "hash":
                import base64
                import hashlib

                digest = base64.urlsafe_b64encode(hashlib.sha256(bare_url.encode()).digest()).rstrip(b"=")
                return digest.decode() == self.pattern.rstrip("=")
        return False


@dataclass(frozen=True, slots=True)
class Renewal:
    """A token that is renewed with each answer (RFC 9246, 2.1.12 to 2.1.15)."""

    lifetime: int  # seconds that the next one is good for
    depth: int  # path segments of the cookie's path


@dataclass(frozen=True, slots=True)
class Grant:
    """What a token says. Times are Unix seconds; an empty tuple or text binds nothing."""

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
    once: bool = False  # good for one request
    renewal: Renewal | None = None
    renews: str = field(default="", compare=False)  # claims of the next one, as JSON

    def from_source(self, address: str) -> bool:
        """Whether the address is one that it is bound to."""
        if not self.sources:
            return True
        try:
            where = ip_address(address)
        except ValueError:
            return False
        return any(where in network for network in self.sources if network.version == where.version)


@dataclass(frozen=True, slots=True)
class Token:
    """A token as it was read: nothing in it is to be believed until its signature has been checked."""

    grant: Grant
    key_id: str
    algorithm: str
    message: bytes  # what is signed
    signature: bytes
    raw: str = field(repr=False)  # as it was presented, for the memory of verdicts
    bare_url: str = ""  # the request's URL without the token


def networks(text: str) -> tuple[Network, ...]:
    """One network, as `10.0.0.0/8` or an address; raises TokenError."""
    try:
        return (ip_network(text, strict=False),)
    except ValueError:
        raise TokenError("a source that is no network") from None
