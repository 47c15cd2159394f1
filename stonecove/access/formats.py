"""Formats of tokens, each from its published description; nothing is fetched or checked here.

- CloudFront: "Serving private content with signed URLs and signed cookies" (CloudFront Developer Guide):
  canned and custom policy, base64 with `+=/` written `-_~`, RSA or ECDSA over the policy's own bytes.
- Edge auth: Akamai "Edge Authorization Token 2.0": fields joined by `~`, HMAC in hex over them.
- CDNI: RFC 9246 (URI Signing for CDNI), a JWS in compact form; Bearer: RFC 6750 with RFC 7519.

`read` gives a token that is still to be checked; the `sign_` functions make one. What a stranger may send
raises TokenError.
"""

from __future__ import annotations

import base64
import binascii
import json
import math
from typing import Any
from urllib.parse import unquote

from joserfc import jws
from joserfc.errors import JoseError

from stonecove.access.grants import (
    Format,
    Grant,
    Network,
    Renewal,
    Request,
    Resource,
    Token,
    TokenError,
    networks,
)
from stonecove.access.keys import Key
from stonecove.access.match import MOST_PATTERN

MOST_TOKEN = 4096
MOST_DEPTH = 8  # of JSON
MOST_LIST = 16
MOST_TIME = 1e11  # Unix seconds; beyond it a figure is not a time

CDNI_NAME = "URISigningPackage"
EDGE_NAME = "hdnts"
_CLOUDFRONT = ("Expires", "Policy", "Signature", "Key-Pair-Id", "Hash-Algorithm")
_SAFE = str.maketrans("+=/", "-_~")
_UNSAFE = str.maketrans("-_~", "+=/")


# ---- what all share ----


def _json(data: bytes | str) -> dict[str, Any]:
    """An object; raises TokenError. Guards against JSON that is deep, has a name twice, or figures that are
    none.
    """
    text = data if isinstance(data, str) else data.decode("utf-8", "strict")
    depth = 0
    for char in text:
        depth += (char in "[{") - (char in "]}")
        if depth > MOST_DEPTH:
            raise TokenError("JSON that is too deep")

    def pairs(found: list[tuple[str, Any]]) -> dict[str, Any]:
        table = dict(found)
        if len(table) != len(found):
            raise TokenError("JSON with a name twice")
        return table

    def constant(name: str) -> Any:
        raise TokenError(f"JSON with {name}")

    try:
        table = json.loads(text, object_pairs_hook=pairs, parse_constant=constant)
    except (ValueError, RecursionError):
        raise TokenError("JSON that can't be read") from None
    if not isinstance(table, dict):
        raise TokenError("JSON that is no object")
    return table


def _time(value: Any, name: str, default: float | None = None) -> float:
    """Unix seconds; raises TokenError."""
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MOST_TIME:
        raise TokenError(f"{name} is no time")
    return float(value)


def _text(value: Any, name: str, most: int = 256) -> str:
    if value is None:
        return ""
    if not isinstance(value, str) or len(value) > most:
        raise TokenError(f"{name} is no text of {most} characters at most")
    return value


def _texts(value: Any, name: str) -> tuple[str, ...]:
    """A text or a list of some."""
    found = [value] if isinstance(value, str) else value if isinstance(value, list) else None
    if value is None:
        return ()
    if found is None or len(found) > MOST_LIST:
        raise TokenError(f"{name} is no list of {MOST_LIST} at most")
    return tuple(_text(one, name, MOST_PATTERN) for one in found)


def _base64(text: str) -> bytes:
    """CloudFront's base64, strict: each byte string has one text."""
    try:
        data = base64.b64decode(text.translate(_UNSAFE), validate=True)
    except (binascii.Error, ValueError):
        raise TokenError("base64 that can't be read") from None
    if base64.b64encode(data).decode().translate(_SAFE) != text:
        raise TokenError("base64 in another than its one form")
    return data


def params_of(query: str) -> list[tuple[str, str]]:
    """Names and raw values."""
    return [(name, value) for name, _, value in (part.partition("=") for part in query.split("&") if part)]


def without(request: Request, names: tuple[str, ...]) -> str:
    """The request's URL without these parameters."""
    kept = "&".join(part for part in request.query.split("&") if part.partition("=")[0] not in names)
    return f"{request.scheme}://{request.host}{request.path}{'?' + kept if kept else ''}"


def _single(found: list[tuple[str, str]], name: str) -> str:
    values = [value for one, value in found if one == name]
    if len(values) > 1:
        raise TokenError(f"{name} is there twice")
    return values[0] if values else ""


# ---- CloudFront ----


def canned_policy(url: str, expires: int) -> bytes:
    """The policy that a canned signature is over: no white space, in this order."""
    return (
        f'{{"Statement":[{{"Resource":"{url}","Condition":{{"DateLessThan":'
        f'{{"AWS:EpochTime":{expires}}}}}}}]}}'
    ).encode()


def custom_policy(resource: str, expires: int, not_before: int = 0, source: str = "") -> bytes:
    """A custom policy."""
    condition: dict[str, Any] = {"DateLessThan": {"AWS:EpochTime": expires}}
    if not_before:
        condition["DateGreaterThan"] = {"AWS:EpochTime": not_before}
    if source:
        condition["IpAddress"] = {"AWS:SourceIp": source}
    return json.dumps(
        {"Statement": [{"Resource": resource, "Condition": condition}]}, separators=(",", ":")
    ).encode()


def _condition(condition: dict[str, Any], name: str, inner: str) -> Any:
    table = condition.get(name)
    if table is None:
        return None
    if not isinstance(table, dict) or set(table) != {inner}:
        raise TokenError(f"a condition {name} that can't be read")
    return table[inner]


def _policy_grant(policy: bytes) -> Grant:
    """What a custom policy grants: one statement, as the description has it."""
    try:
        table = _json(policy)
    except UnicodeDecodeError:
        raise TokenError("a policy that is no text") from None
    statements = table.get("Statement")
    if (
        set(table) != {"Statement"}
        or not isinstance(statements, list)
        or len(statements) != 1
        or not (isinstance(statements[0], dict))
    ):
        raise TokenError("a policy without its one statement")
    statement = statements[0]
    condition = statement.get("Condition")
    if (
        set(statement) - {"Resource", "Condition"}
        or not isinstance(condition, dict)
        or (set(condition) - {"DateLessThan", "DateGreaterThan", "IpAddress"})
    ):
        raise TokenError("a statement with what is not known")
    source = _text(_condition(condition, "IpAddress", "AWS:SourceIp"), "AWS:SourceIp")
    return Grant(
        Format.CLOUDFRONT,
        _time(_condition(condition, "DateLessThan", "AWS:EpochTime"), "DateLessThan"),
        _time(_condition(condition, "DateGreaterThan", "AWS:EpochTime"), "DateGreaterThan", 0.0),
        resources=(Resource("url", _text(statement.get("Resource"), "Resource", MOST_PATTERN)),),
        sources=networks(source) if source else (),
    )


def cloudfront(request: Request, found: list[tuple[str, str]], cookies: bool = False) -> Token:
    """From the query's parameters, or from cookies named CloudFront-*. Raises TokenError."""
    prefix = "CloudFront-" if cookies else ""
    fields = {name: _single(found, prefix + name) for name in _CLOUDFRONT}
    if bool(fields["Policy"]) == bool(fields["Expires"]):
        raise TokenError("one of Policy and Expires is wanted")
    if not fields["Key-Pair-Id"] or not fields["Signature"]:
        raise TokenError("Signature or Key-Pair-Id is missing")
    bare = without(request, _CLOUDFRONT)
    if '"' in bare or "\\" in bare:
        raise TokenError("a URL that would break out of its policy")
    if fields["Policy"]:
        message = _base64(fields["Policy"])
        grant = _policy_grant(message)
    else:
        if not fields["Expires"].isascii() or not fields["Expires"].isdigit() or len(fields["Expires"]) > 12:
            raise TokenError("Expires is no time")
        message = canned_policy(bare, int(fields["Expires"]))
        grant = Grant(Format.CLOUDFRONT, _time(int(fields["Expires"]), "Expires"))
    digest = fields["Hash-Algorithm"] or "SHA1"
    if digest not in ("SHA1", "SHA256"):
        raise TokenError("Hash-Algorithm is not known")
    raw = "&".join(f"{name}={value}" for name, value in fields.items())
    return Token(
        grant,
        fields["Key-Pair-Id"],
        f"*-{digest}",
        message,
        _base64(fields["Signature"]),
        raw if fields["Policy"] else f"{raw} {bare}",
        bare,
    )


def sign_cloudfront(key: Key, policy: bytes, canned: bool, expires: int) -> list[tuple[str, str]]:
    """The parameters of a signed URL; as cookies, each name has CloudFront- before it."""
    first = (
        ("Expires", str(expires))
        if canned
        else ("Policy", base64.b64encode(policy).decode().translate(_SAFE))
    )
    made = [
        first,
        ("Signature", base64.b64encode(key.sign(policy)).decode().translate(_SAFE)),
        ("Key-Pair-Id", key.ident),
    ]
    return made + ([("Hash-Algorithm", "SHA256")] if key.algorithm.endswith("SHA256") else [])


# ---- Edge auth ----


def _acl(text: str) -> tuple[Resource, ...]:
    found = text.split("!")
    if len(found) > MOST_LIST or not all(one.startswith("/") for one in found):
        raise TokenError("an acl that can't be read")
    return tuple(Resource("path", one) for one in found)


def edge_auth(request: Request, text: str, name: str = EDGE_NAME, key_id: str = "") -> Token:
    """`ip=..~st=..~exp=..~acl=..~data=..~hmac=..`; without an acl it is bound to the request's own path.

    The format has no key id; `data=kid:ID,...` names one here, else it is the policy's. Raises TokenError.
    """
    body, mark, mac = text.rpartition("~hmac=")
    if not mark or len(mac) % 2 or not mac or mac != mac.lower():
        raise TokenError("no hmac at its end")
    fields: dict[str, str] = {}
    for part in body.split("~"):
        field, equals, value = part.partition("=")
        if not equals or field in fields or field not in ("ip", "st", "exp", "acl", "url", "id", "data"):
            raise TokenError("a field that is not known, or twice")
        fields[field] = value
    if "url" in fields:
        raise TokenError("a url in the token itself")
    times = [fields.get("st", "0"), fields.get("exp", "")]
    if not all(one.isascii() and one.isdigit() and len(one) <= 12 for one in times):
        raise TokenError("st or exp is no time")
    message = body if "acl" in fields else f"{body}~url={request.path}"
    try:
        signature = bytes.fromhex(mac)
    except ValueError:
        raise TokenError("an hmac that is no hex") from None
    data = dict(pair.partition(":")[::2] for pair in unquote(fields.get("data", "")).split(",") if pair)
    grant = Grant(
        Format.EDGE_AUTH,
        _time(int(times[1]), "exp"),
        _time(int(times[0]), "st"),
        subject=fields.get("id", "") or data.get("sub", ""),
        resources=_acl(unquote(fields["acl"]))
        if "acl" in fields
        else (Resource("path", _quoted(request.path)),),
        sources=networks(fields["ip"]) if fields.get("ip") else (),
        depots=(data["depot"],) if "depot" in data else (),
        token_id=data.get("jti", ""),
        once=data.get("once") == "1",
    )
    return Token(
        grant,
        data.get("kid", key_id),
        "HMAC-*",
        message.encode(),
        signature,
        f"{text} {request.path}",
        without(request, (name,)),
    )


def _quoted(path: str) -> str:
    """A path as a pattern of itself: in a canonical path `*` may stand for itself only."""
    return path.replace("*", "?")


def sign_edge_auth(
    key: Key,
    expires: int,
    acl: str = "",
    path: str = "",
    source: str = "",
    start: int = 0,
    subject: str = "",
    data: str = "",
) -> str:
    """A token for an acl, or for one path."""
    parts = [f"ip={source}"] if source else []
    parts += [f"st={start}"] if start else []
    parts.append(f"exp={expires}")
    parts += [f"acl={acl}"] if acl else []
    parts += [f"id={subject}"] if subject else []
    parts += [f"data={data}"] if data else []
    body = "~".join(parts)
    message = body if acl else f"{body}~url={path}"
    return f"{body}~hmac={key.sign(message.encode()).hex()}"


# ---- JOSE: CDNI and Bearer ----

_ALGORITHMS = ("HS256", "HS384", "HS512", "RS256", "RS384", "RS512", "ES256", "ES384")
_BEARER_CLAIMS = {"iss", "sub", "aud", "exp", "nbf", "iat", "jti", "res", "net", "depot", "mth", "once"}
_CDNI_CLAIMS = {
    "iss",
    "sub",
    "aud",
    "exp",
    "nbf",
    "iat",
    "jti",
    "cdniv",
    "cdnicrit",
    "cdniip",
    "cdniuc",
    "cdniets",
    "cdnistt",
    "cdnistd",
}


def _jws_token(
    grant: Grant, header: dict[str, Any], message: bytes, signature: bytes, text: str, bare_url: str
) -> Token:
    """A token in compact form, with key and algorithm from its header; raises TokenError."""
    return Token(
        grant, _text(header.get("kid"), "kid"), str(header["alg"]), message, signature, text, bare_url
    )


def _compact(text: str) -> tuple[dict[str, Any], dict[str, Any], bytes, bytes]:
    """Header, claims, what is signed, the signature; raises TokenError."""
    if text.count(".") != 2:
        raise TokenError("not a JWS in compact form")
    try:
        found = jws.extract_compact(text.encode("ascii"))
        header, claims = _json(json.dumps(found.headers())), _json(bytes(found.payload or b""))
        signature = base64.urlsafe_b64decode(text.rpartition(".")[2] + "==")
    except TokenError:
        raise
    except (JoseError, ValueError, TypeError, KeyError, AttributeError, RecursionError):
        raise TokenError("a JWS that can't be read") from None
    if base64.urlsafe_b64encode(signature).rstrip(b"=").decode() != text.rpartition(".")[2]:
        raise TokenError("base64 in another than its one form")
    if set(header) - {"alg", "kid", "typ"}:
        raise TokenError("a header with what is not known")  # crit, jku, jwk, x5u: never heeded
    if header.get("alg") not in _ALGORITHMS:
        raise TokenError("an algorithm that is not taken")
    return header, claims, text.rpartition(".")[0].encode(), signature


def bearer(request: Request, text: str) -> Token:
    """A JWT (RFC 7519) with these private claims: `res` patterns of paths, `net` a network, `depot`, `mth`
    methods, `once` good for one request. Raises TokenError.
    """
    header, claims, message, signature = _compact(text)
    if unknown := set(claims) - _BEARER_CLAIMS:
        raise TokenError(f"a claim {sorted(unknown)[0][:32]!r} that is not known")
    net = _text(claims.get("net"), "net")
    once = claims.get("once", False)
    if not isinstance(once, bool):
        raise TokenError("once is neither true nor false")
    grant = Grant(
        Format.BEARER,
        _time(claims.get("exp"), "exp"),
        _time(claims.get("nbf"), "nbf", 0.0),
        _time(claims.get("iat"), "iat", 0.0),
        _text(claims.get("sub"), "sub"),
        _text(claims.get("iss"), "iss"),
        _texts(claims.get("aud"), "aud"),
        tuple(Resource("path", one) for one in _texts(claims.get("res"), "res")),
        networks(net) if net else (),
        _texts(claims.get("depot"), "depot"),
        _texts(claims.get("mth"), "mth"),
        _text(claims.get("jti"), "jti"),
        once,
    )
    return _jws_token(grant, header, message, signature, text, without(request, ()))


def cdni(request: Request, text: str) -> Token:
    """A URI Signing Package. `cdnicrit` names claims that have to be known; `cdniip` is taken as a network in
    the clear, as RFC 9246 has it encrypted for parties that share a key beforehand. Raises TokenError.
    """
    header, claims, message, signature = _compact(text)
    critical = [one for one in _text(claims.get("cdnicrit"), "cdnicrit").split(",") if one]
    if unknown := set(critical) - _CDNI_CLAIMS:
        raise TokenError(f"a critical claim {sorted(unknown)[0][:32]!r} that is not known")
    if claims.get("cdniv", 1) != 1:
        raise TokenError("a version that is not known")
    source = _text(claims.get("cdniip"), "cdniip")
    renewal, renews = None, ""
    if claims.get("cdnistt", 0) == 1:
        lifetime, depth = claims.get("cdniets"), claims.get("cdnistd", 0)
        if (
            not isinstance(lifetime, int)
            or not isinstance(depth, int)
            or not (0 < lifetime <= 86_400 and 0 <= depth <= 32)
        ):
            raise TokenError("cdniets or cdnistd can't be")
        renewal = Renewal(lifetime, depth)
        kept = {name: value for name, value in claims.items() if name not in ("exp", "iat", "nbf")}
        renews = json.dumps(kept)
    elif claims.get("cdnistt", 0) != 0:
        raise TokenError("a transport that is not known")
    grant = Grant(
        Format.CDNI,
        _time(claims.get("exp"), "exp", math.inf),
        _time(claims.get("nbf"), "nbf", 0.0),
        _time(claims.get("iat"), "iat", 0.0),
        _text(claims.get("sub"), "sub"),
        _text(claims.get("iss"), "iss"),
        _texts(claims.get("aud"), "aud"),
        (_container(_text(claims.get("cdniuc"), "cdniuc", MOST_PATTERN)),),
        networks(source) if source else (),
        token_id=_text(claims.get("jti"), "jti"),
        once=bool(claims.get("jti")) and renewal is None,
        renewal=renewal,
        renews=renews,
    )
    return _jws_token(grant, header, message, signature, text, without(request, (CDNI_NAME,)))


def _container(text: str) -> Resource:
    """`regex:` over the URL, or `hash:sha-256;` of it (RFC 9246, 2.1.10)."""
    form, _, rest = text.partition(":")
    if form == "regex" and rest:
        import re2

        try:
            re2.compile(rest)
        except re2.error:
            raise TokenError("an expression that can't be read") from None
        return Resource("regex", rest)
    if form == "hash" and rest.startswith("sha-256;"):
        return Resource("hash", rest.removeprefix("sha-256;"))
    raise TokenError("a URI container that is not known")


def sign_jwt(key: Key, claims: dict[str, Any]) -> str:
    """A JWS in compact form over these claims, with the key's id."""

    def part(table: dict[str, Any]) -> str:
        data = json.dumps(table, separators=(",", ":")).encode()
        return base64.urlsafe_b64encode(data).rstrip(b"=").decode()

    message = f"{part({'alg': key.algorithm, 'kid': key.ident})}.{part(claims)}"
    return f"{message}.{base64.urlsafe_b64encode(key.sign(message.encode())).rstrip(b'=').decode()}"


# ---- finding ----


def algorithm_fits(wanted: str, key: Key) -> bool:
    """Whether a token's algorithm is the one that its key is for: the key decides, not the token."""
    if wanted == "HMAC-*":
        return key.algorithm.startswith("HMAC-")
    if wanted.startswith("*-"):
        return key.algorithm in (f"RSA{wanted[1:]}", f"ECDSA{wanted[1:]}")
    return wanted == key.algorithm


def _readers(request: Request, edge_name: str, edge_key: str) -> list[tuple[str, Any]]:
    """Where tokens are, with what reads each."""
    params, cookies = params_of(request.query), list(request.cookies)
    found: list[tuple[str, Any]] = []
    if any(name in ("Signature", "Key-Pair-Id", "Policy") for name, _ in params):
        found.append(("url", lambda: cloudfront(request, params)))
    if any(name.startswith("CloudFront-") for name, _ in cookies):
        found.append(("cookie", lambda: cloudfront(request, cookies, cookies=True)))
    for place, pairs in (("url", params), ("cookie", cookies)):
        for name, value in pairs:
            text = unquote(value)
            if name == CDNI_NAME:
                found.append((place, lambda text=text: cdni(request, text)))
            elif name == edge_name:
                found.append((place, lambda text=text: edge_auth(request, text, edge_name, edge_key)))
    if request.authorization:
        scheme, _, text = request.authorization.partition(" ")
        if scheme.lower() == "bearer":
            found.append(("header", lambda: bearer(request, text.strip())))
    return found


def read(request: Request, edge_name: str = EDGE_NAME, edge_key: str = "") -> list[Token]:
    """All tokens that a request presents, one after the other; raises TokenError for one that can't be read.

    A URL and a cookie that are both there have to be of one mind: `gate` sees to that.
    """
    size = (
        len(request.query)
        + len(request.authorization)
        + sum(len(name) + len(value) for name, value in request.cookies)
    )
    if size > MOST_TOKEN * 2:
        raise TokenError("too long")
    found = _readers(request, edge_name, edge_key)
    if len(found) > 3:
        raise TokenError("too many tokens")
    return [one() for _, one in found]


__all__ = [
    "Network",
    "bearer",
    "canned_policy",
    "cdni",
    "cloudfront",
    "custom_policy",
    "edge_auth",
    "read",
    "sign_cloudfront",
    "sign_edge_auth",
    "sign_jwt",
]
