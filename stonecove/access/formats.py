"""Parsers and signers of the token formats, by their published specifications. Nothing is verified here.

- CloudFront: "Serving private content with signed URLs and signed cookies" (CloudFront Developer Guide):
  canned and custom policy, base64 with `+=/` replaced by `-_~`, RSA or ECDSA over the bytes of the policy.
- Edge auth: Akamai "Edge Authorization Token 2.0": fields joined by `~`, followed by their HMAC in hex.
- CDNI: RFC 9246 (URI Signing for CDNI), a JWS in compact form; Bearer: RFC 6750 with RFC 7519.

`read` returns unverified tokens; the `sign_` functions create tokens. Malformed input raises TokenError.
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
    parse_networks,
)
from stonecove.access.keys import Key
from stonecove.access.match import MAX_PATTERN_LENGTH

MAX_TOKEN_LENGTH = 4096
MAX_JSON_DEPTH = 8
MAX_LIST_LENGTH = 16
MAX_TIME_S = 1e11  # Unix time; larger numbers are rejected

CDNI_NAME = "URISigningPackage"
EDGE_NAME = "hdnts"
_CLOUDFRONT_PARAMETERS = ("Expires", "Policy", "Signature", "Key-Pair-Id", "Hash-Algorithm")
_TO_URL_SAFE = str.maketrans("+=/", "-_~")
_FROM_URL_SAFE = str.maketrans("-_~", "+=/")


# ---- Shared helpers ----


def _parse_json(data: bytes | str) -> dict[str, Any]:
    """Return a JSON object.

    Raises TokenError for any other value, for deep nesting, duplicate names, and NaN or infinite numbers.
    """
    text = data if isinstance(data, str) else data.decode("utf-8", "strict")
    nesting = 0
    for char in text:
        nesting += (char in "[{") - (char in "]}")
        if nesting > MAX_JSON_DEPTH:
            raise TokenError("JSON is nested too deeply")

    def pairs(found: list[tuple[str, Any]]) -> dict[str, Any]:
        table = dict(found)
        if len(table) != len(found):
            raise TokenError("JSON has a duplicate name")
        return table

    def constant(name: str) -> Any:
        raise TokenError(f"JSON contains {name}")

    try:
        table = json.loads(text, object_pairs_hook=pairs, parse_constant=constant)
    except (ValueError, RecursionError):
        raise TokenError("JSON cannot be parsed") from None
    if not isinstance(table, dict):
        raise TokenError("JSON is not an object")
    return table


def _parse_time(value: Any, name: str, default: float | None = None) -> float:
    """Return a time in Unix seconds; raises TokenError."""
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_TIME_S:
        raise TokenError(f"{name} is no time")
    return float(value)


def _parse_text(value: Any, name: str, max_length: int = 256) -> str:
    if value is None:
        return ""
    if not isinstance(value, str) or len(value) > max_length:
        raise TokenError(f"{name} must be a string of at most {max_length} characters")
    return value


def _parse_texts(value: Any, name: str) -> tuple[str, ...]:
    """Return the items of a string or a list of strings; raises TokenError."""
    found = [value] if isinstance(value, str) else value if isinstance(value, list) else None
    if value is None:
        return ()
    if found is None or len(found) > MAX_LIST_LENGTH:
        raise TokenError(f"{name} must be a list of at most {MAX_LIST_LENGTH} strings")
    return tuple(_parse_text(one, name, MAX_PATTERN_LENGTH) for one in found)


def _decode_base64(text: str) -> bytes:
    """Decode CloudFront's base64; raises TokenError, also for a non-canonical encoding."""
    try:
        data = base64.b64decode(text.translate(_FROM_URL_SAFE), validate=True)
    except (binascii.Error, ValueError):
        raise TokenError("base64 that can't be read") from None
    if base64.b64encode(data).decode().translate(_TO_URL_SAFE) != text:
        raise TokenError("base64 in another than its one form")
    return data


def split_query(query: str) -> list[tuple[str, str]]:
    """Return the names and raw values of a query."""
    return [(name, value) for name, _, value in (field.partition("=") for field in query.split("&") if field)]


def url_without(request: Request, names: tuple[str, ...]) -> str:
    """Return the request's URL without these query parameters."""
    remaining_query = "&".join(
        param for param in request.query.split("&") if param.partition("=")[0] not in names
    )
    return (
        f"{request.scheme}://{request.host}{request.path}{'?' + remaining_query if remaining_query else ''}"
    )


def _single_value(found: list[tuple[str, str]], name: str) -> str:
    values = [value for one, value in found if one == name]
    if len(values) > 1:
        raise TokenError(f"{name} is there twice")
    return values[0] if values else ""


# ---- CloudFront ----


def canned_policy(url: str, expires: int) -> bytes:
    """Return the policy that a canned signature covers: without white space, in this order of fields."""
    return (
        f'{{"Statement":[{{"Resource":"{url}","Condition":{{"DateLessThan":'
        f'{{"AWS:EpochTime":{expires}}}}}}}]}}'
    ).encode()


def custom_policy(resource: str, expires: int, not_before: int = 0, source: str = "") -> bytes:
    """Return a custom policy; times are Unix seconds."""
    condition: dict[str, Any] = {"DateLessThan": {"AWS:EpochTime": expires}}
    if not_before:
        condition["DateGreaterThan"] = {"AWS:EpochTime": not_before}
    if source:
        condition["IpAddress"] = {"AWS:SourceIp": source}
    return json.dumps(
        {"Statement": [{"Resource": resource, "Condition": condition}]}, separators=(",", ":")
    ).encode()


def _condition_value(condition: dict[str, Any], name: str, inner: str) -> Any:
    table = condition.get(name)
    if table is None:
        return None
    if not isinstance(table, dict) or set(table) != {inner}:
        raise TokenError(f"condition {name} is malformed")
    return table[inner]


def _parse_policy(policy: bytes) -> Grant:
    """Return the grant of a custom policy, which has exactly one statement; raises TokenError."""
    try:
        table = _parse_json(policy)
    except UnicodeDecodeError:
        raise TokenError("policy is not UTF-8 text") from None
    statements = table.get("Statement")
    if (
        set(table) != {"Statement"}
        or not isinstance(statements, list)
        or len(statements) != 1
        or not (isinstance(statements[0], dict))
    ):
        raise TokenError("policy must have exactly one statement")
    statement = statements[0]
    condition = statement.get("Condition")
    if (
        set(statement) - {"Resource", "Condition"}
        or not isinstance(condition, dict)
        or (set(condition) - {"DateLessThan", "DateGreaterThan", "IpAddress"})
    ):
        raise TokenError("statement has unknown fields")
    source = _parse_text(_condition_value(condition, "IpAddress", "AWS:SourceIp"), "AWS:SourceIp")
    return Grant(
        Format.CLOUDFRONT,
        _parse_time(_condition_value(condition, "DateLessThan", "AWS:EpochTime"), "DateLessThan"),
        _parse_time(_condition_value(condition, "DateGreaterThan", "AWS:EpochTime"), "DateGreaterThan", 0.0),
        resources=(Resource("url", _parse_text(statement.get("Resource"), "Resource", MAX_PATTERN_LENGTH)),),
        sources=parse_networks(source) if source else (),
    )


def cloudfront(request: Request, found: list[tuple[str, str]], cookies: bool = False) -> Token:
    """Parse a signed URL, or signed cookies named CloudFront-*; raises TokenError."""
    prefix = "CloudFront-" if cookies else ""
    fields = {name: _single_value(found, prefix + name) for name in _CLOUDFRONT_PARAMETERS}
    if bool(fields["Policy"]) == bool(fields["Expires"]):
        raise TokenError("one of Policy and Expires is wanted")
    if not fields["Key-Pair-Id"] or not fields["Signature"]:
        raise TokenError("Signature or Key-Pair-Id is missing")
    stripped_url = url_without(request, _CLOUDFRONT_PARAMETERS)
    if '"' in stripped_url or "\\" in stripped_url:
        raise TokenError("URL has a quote or a backslash, which would end the string in its policy")
    if fields["Policy"]:
        message = _decode_base64(fields["Policy"])
        grant = _parse_policy(message)
    else:
        if not fields["Expires"].isascii() or not fields["Expires"].isdigit() or len(fields["Expires"]) > 12:
            raise TokenError("Expires is no time")
        message = canned_policy(stripped_url, int(fields["Expires"]))
        grant = Grant(Format.CLOUDFRONT, _parse_time(int(fields["Expires"]), "Expires"))
    digest = fields["Hash-Algorithm"] or "SHA1"
    if digest not in ("SHA1", "SHA256"):
        raise TokenError("Hash-Algorithm is not known")
    raw = "&".join(f"{name}={value}" for name, value in fields.items())
    return Token(
        grant,
        fields["Key-Pair-Id"],
        f"*-{digest}",
        message,
        _decode_base64(fields["Signature"]),
        raw if fields["Policy"] else f"{raw} {stripped_url}",
        stripped_url,
    )


def sign_cloudfront(key: Key, policy: bytes, canned: bool, expires: int) -> list[tuple[str, str]]:
    """Return the parameters of a signed URL; the names of cookies have the prefix CloudFront-."""
    expiry_or_policy = (
        ("Expires", str(expires))
        if canned
        else ("Policy", base64.b64encode(policy).decode().translate(_TO_URL_SAFE))
    )
    pairs = [
        expiry_or_policy,
        ("Signature", base64.b64encode(key.sign(policy)).decode().translate(_TO_URL_SAFE)),
        ("Key-Pair-Id", key.ident),
    ]
    return pairs + ([("Hash-Algorithm", "SHA256")] if key.algorithm.endswith("SHA256") else [])


# ---- Edge auth ----


def _parse_acl(text: str) -> tuple[Resource, ...]:
    found = text.split("!")
    if len(found) > MAX_LIST_LENGTH or not all(one.startswith("/") for one in found):
        raise TokenError("acl is malformed")
    return tuple(Resource("path", one) for one in found)


def edge_auth(request: Request, text: str, name: str = EDGE_NAME, key_id: str = "") -> Token:
    """Parse `ip=..~st=..~exp=..~acl=..~data=..~hmac=..`; without an acl the token covers the request's path.

    The format has no key id: it is taken from `data=kid:ID,...` if present, else from the policy. Raises
    TokenError.
    """
    body, mark, mac_hex = text.rpartition("~hmac=")
    if not mark or len(mac_hex) % 2 or not mac_hex or mac_hex != mac_hex.lower():
        raise TokenError("no hmac at its end")
    fields: dict[str, str] = {}
    for pair in body.split("~"):
        field, equals, value = pair.partition("=")
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
        signature = bytes.fromhex(mac_hex)
    except ValueError:
        raise TokenError("an hmac that is no hex") from None
    data = dict(pair.partition(":")[::2] for pair in unquote(fields.get("data", "")).split(",") if pair)
    grant = Grant(
        Format.EDGE_AUTH,
        _parse_time(int(times[1]), "exp"),
        _parse_time(int(times[0]), "st"),
        subject=fields.get("id", "") or data.get("sub", ""),
        resources=_parse_acl(unquote(fields["acl"]))
        if "acl" in fields
        else (Resource("path", _literal_pattern(request.path)),),
        sources=parse_networks(fields["ip"]) if fields.get("ip") else (),
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
        url_without(request, (name,)),
    )


def _literal_pattern(path: str) -> str:
    """Return a glob for one path.

    A canonical path may contain a literal `*`, which becomes `?`, so that it cannot match a run
    of characters.
    """
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
    """Return a token for an acl, or for one path; times are Unix seconds."""
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
    grant: Grant, header: dict[str, Any], message: bytes, signature: bytes, text: str, url_without_token: str
) -> Token:
    """Return a token with key id and algorithm from the JWS header; raises TokenError."""
    return Token(
        grant,
        _parse_text(header.get("kid"), "kid"),
        str(header["alg"]),
        message,
        signature,
        text,
        url_without_token,
    )


def _parse_compact(text: str) -> tuple[dict[str, Any], dict[str, Any], bytes, bytes]:
    """Return header, claims, signed bytes and signature of a compact JWS; raises TokenError."""
    if text.count(".") != 2:
        raise TokenError("not a JWS in compact form")
    try:
        found = jws.extract_compact(text.encode("ascii"))
        header, claims = _parse_json(json.dumps(found.headers())), _parse_json(bytes(found.payload or b""))
        signature = base64.urlsafe_b64decode(text.rpartition(".")[2] + "==")
    except TokenError:
        raise
    except (JoseError, ValueError, TypeError, KeyError, AttributeError, RecursionError):
        raise TokenError("JWS is malformed") from None
    if base64.urlsafe_b64encode(signature).rstrip(b"=").decode() != text.rpartition(".")[2]:
        raise TokenError("base64 in another than its one form")
    if set(header) - {"alg", "kid", "typ"}:
        raise TokenError("a header with what is not known")  # crit, jku, jwk and x5u are never honoured
    if header.get("alg") not in _ALGORITHMS:
        raise TokenError("an algorithm that is not taken")
    return header, claims, text.rpartition(".")[0].encode(), signature


def bearer(request: Request, text: str) -> Token:
    """Parse a JWT (RFC 7519); raises TokenError.

    Private claims: `res` (path globs), `net` (a network), `depot`, `mth` (methods) and `once` (single-use).
    """
    header, claims, message, signature = _parse_compact(text)
    if unknown := set(claims) - _BEARER_CLAIMS:
        raise TokenError(f"a claim {sorted(unknown)[0][:32]!r} that is not known")
    net = _parse_text(claims.get("net"), "net")
    once = claims.get("once", False)
    if not isinstance(once, bool):
        raise TokenError("once is neither true nor false")
    grant = Grant(
        Format.BEARER,
        _parse_time(claims.get("exp"), "exp"),
        _parse_time(claims.get("nbf"), "nbf", 0.0),
        _parse_time(claims.get("iat"), "iat", 0.0),
        _parse_text(claims.get("sub"), "sub"),
        _parse_text(claims.get("iss"), "iss"),
        _parse_texts(claims.get("aud"), "aud"),
        tuple(Resource("path", one) for one in _parse_texts(claims.get("res"), "res")),
        parse_networks(net) if net else (),
        _parse_texts(claims.get("depot"), "depot"),
        _parse_texts(claims.get("mth"), "mth"),
        _parse_text(claims.get("jti"), "jti"),
        once,
    )
    return _jws_token(grant, header, message, signature, text, url_without(request, ()))


def cdni(request: Request, text: str) -> Token:
    """Parse a URI Signing Package; raises TokenError.

    `cdnicrit` lists claims that have to be understood. `cdniip` is a network in plain text; RFC 9246
    encrypts it between parties that share a key.
    """
    header, claims, message, signature = _parse_compact(text)
    critical = [one for one in _parse_text(claims.get("cdnicrit"), "cdnicrit").split(",") if one]
    if unknown := set(critical) - _CDNI_CLAIMS:
        raise TokenError(f"a critical claim {sorted(unknown)[0][:32]!r} that is not known")
    if claims.get("cdniv", 1) != 1:
        raise TokenError("a version that is not known")
    source = _parse_text(claims.get("cdniip"), "cdniip")
    renewal, next_claims_json = None, ""
    if claims.get("cdnistt", 0) == 1:
        lifetime_s, path_segments = claims.get("cdniets"), claims.get("cdnistd", 0)
        if (
            not isinstance(lifetime_s, int)
            or not isinstance(path_segments, int)
            or not (0 < lifetime_s <= 86_400 and 0 <= path_segments <= 32)
        ):
            raise TokenError("cdniets or cdnistd can't be")
        renewal = Renewal(lifetime_s, path_segments)
        remaining_claims = {
            name: value for name, value in claims.items() if name not in ("exp", "iat", "nbf")
        }
        next_claims_json = json.dumps(remaining_claims)
    elif claims.get("cdnistt", 0) != 0:
        raise TokenError("a transport that is not known")
    grant = Grant(
        Format.CDNI,
        _parse_time(claims.get("exp"), "exp", math.inf),
        _parse_time(claims.get("nbf"), "nbf", 0.0),
        _parse_time(claims.get("iat"), "iat", 0.0),
        _parse_text(claims.get("sub"), "sub"),
        _parse_text(claims.get("iss"), "iss"),
        _parse_texts(claims.get("aud"), "aud"),
        (_parse_uri_container(_parse_text(claims.get("cdniuc"), "cdniuc", MAX_PATTERN_LENGTH)),),
        parse_networks(source) if source else (),
        token_id=_parse_text(claims.get("jti"), "jti"),
        once=bool(claims.get("jti")) and renewal is None,
        renewal=renewal,
        next_claims_json=next_claims_json,
    )
    return _jws_token(grant, header, message, signature, text, url_without(request, (CDNI_NAME,)))


def _parse_uri_container(text: str) -> Resource:
    """Parse a URI container: `regex:` or `hash:sha-256;` (RFC 9246, 2.1.10); raises TokenError."""
    kind, _, value = text.partition(":")
    if kind == "regex" and value:
        import re2

        try:
            re2.compile(value)
        except re2.error:
            raise TokenError("an expression that can't be read") from None
        return Resource("regex", value)
    if kind == "hash" and value.startswith("sha-256;"):
        return Resource("hash", value.removeprefix("sha-256;"))
    raise TokenError("a URI container that is not known")


def sign_jwt(key: Key, claims: dict[str, Any]) -> str:
    """Return a compact JWS over these claims, with the key's id in its header."""

    def encode(table: dict[str, Any]) -> str:
        data = json.dumps(table, separators=(",", ":")).encode()
        return base64.urlsafe_b64encode(data).rstrip(b"=").decode()

    message = f"{encode({'alg': key.algorithm, 'kid': key.ident})}.{encode(claims)}"
    return f"{message}.{base64.urlsafe_b64encode(key.sign(message.encode())).rstrip(b'=').decode()}"


# ---- Tokens of a request ----


def algorithm_fits(wanted: str, key: Key) -> bool:
    """Return whether a token's algorithm is the one of its key.

    The key decides, so that a token cannot choose a weaker algorithm.
    """
    if wanted == "HMAC-*":
        return key.algorithm.startswith("HMAC-")
    if wanted.startswith("*-"):
        return key.algorithm in (f"RSA{wanted[1:]}", f"ECDSA{wanted[1:]}")
    return wanted == key.algorithm


def _find_tokens(request: Request, edge_name: str, edge_key: str) -> list[tuple[str, Any]]:
    """Return the location of each token in the request, with a function that parses it."""
    params, cookies = split_query(request.query), list(request.cookies)
    found: list[tuple[str, Any]] = []
    if any(name in ("Signature", "Key-Pair-Id", "Policy") for name, _ in params):
        found.append(("url", lambda: cloudfront(request, params)))
    if any(name.startswith("CloudFront-") for name, _ in cookies):
        found.append(("cookie", lambda: cloudfront(request, cookies, cookies=True)))
    for location, pairs in (("url", params), ("cookie", cookies)):
        for name, value in pairs:
            text = unquote(value)
            if name == CDNI_NAME:
                found.append((location, lambda text=text: cdni(request, text)))
            elif name == edge_name:
                found.append((location, lambda text=text: edge_auth(request, text, edge_name, edge_key)))
    if request.authorization:
        scheme, _, text = request.authorization.partition(" ")
        if scheme.lower() == "bearer":
            found.append(("header", lambda: bearer(request, text.strip())))
    return found


def read(request: Request, edge_name: str = EDGE_NAME, edge_key: str = "") -> list[Token]:
    """Return all tokens of a request; raises TokenError if one is malformed.

    Whether several tokens agree is checked by `gate`.
    """
    size = (
        len(request.query)
        + len(request.authorization)
        + sum(len(name) + len(value) for name, value in request.cookies)
    )
    if size > MAX_TOKEN_LENGTH * 2:
        raise TokenError("too long")
    found = _find_tokens(request, edge_name, edge_key)
    if len(found) > 3:
        raise TokenError("too many tokens")
    return [parse() for _, parse in found]


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
