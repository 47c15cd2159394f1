"""`stonecove token` and `stonecove keys`: create, read and explain tokens, and manage key rings."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click

from stonecove.commands.options import operator_option

EXIT_OK, EXIT_REFUSED, EXIT_INVALID = 0, 1, 2
FORMATS = ("cloudfront", "edge-auth", "cdni", "bearer")

_ring_option = click.option(
    "--ring",
    required=True,
    type=click.Path(path_type=Path),
    help="A key ring file, or a folder of key rings.",
)


def _exit_invalid(error: Exception | str) -> NoReturn:
    click.echo(f"stonecove: {error}", err=True)
    sys.exit(EXIT_INVALID)


def _read_ring(path: Path) -> Any:
    from stonecove.server.access import AccessError, read_key_ring

    try:
        return read_key_ring(path)
    except AccessError as error:
        _exit_invalid(error)


@click.group()
def token() -> None:
    """Create, read and explain signed URLs and tokens. Exit codes: 0 success, 1 refused, 2 invalid input."""


@token.command("sign")
@_ring_option
@click.option("--format", "form", type=click.Choice(FORMATS), default="bearer", show_default=True)
@click.option(
    "--url", required=True, help="http://HOST/PATH to grant access to; * where the format supports wildcards."
)
@click.option(
    "--for", "seconds", default=300, show_default=True, type=click.IntRange(1), help="Lifetime in seconds."
)
@click.option("--subject", default="", help="Subject of the token.")
@click.option("--source", default="", help="Client network that the token is bound to.")
@click.option("--depot", default="", help="Depot that the token is bound to.")
@click.option("--method", "methods", multiple=True, help="Allowed HTTP methods.")
@click.option("--id", "ident", default="", help="Token id, for revocation.")
@click.option("--once", is_flag=True, help="Valid for one request.")
@click.option("--renew", default=0, type=click.IntRange(0, 86_400), help="CDNI: renew for this many seconds.")
def sign_command(
    ring: Path, form: str, url: str, seconds: int, subject: str, source: str, depot: str,
    methods: tuple[str, ...], ident: str, once: bool, renew: int,
) -> None:  # fmt: skip
    """Create a token; print the complete URL, or the header field that carries it."""
    from urllib.parse import urlsplit

    from stonecove.access import formats

    now_s = time.time()
    key = _read_ring(ring).signer(now_s, form)
    if key is None:
        _exit_invalid(f"no key of the ring signs {form} now")
    path, expires_s = urlsplit(url).path, int(now_s) + seconds
    separator = "&" if "?" in url else "?"
    if form == "cloudfront":
        is_canned = not (source or "*" in url)
        policy = (
            formats.canned_policy(url, expires_s)
            if is_canned
            else formats.custom_policy(url, expires_s, 0, source)
        )
        pairs = formats.sign_cloudfront(key, policy, is_canned, expires_s)
        click.echo(url + separator + "&".join(f"{name}={value}" for name, value in pairs))
    elif form == "edge-auth":
        data = {"kid": key.ident, "depot": depot, "jti": ident, "once": "1" if once else ""}
        signed = formats.sign_edge_auth(
            key, expires_s, acl=path, source=source, subject=subject,
            data=",".join(f"{name}:{value}" for name, value in data.items() if value))  # fmt: skip
        click.echo(f"{url}{separator}{formats.EDGE_NAME}={signed}")
    elif form == "cdni":
        import re

        claims: dict[str, Any] = {
            "exp": expires_s, "iat": int(now_s), "cdniv": 1,
            "cdniuc": "regex:" + re.escape(url).replace(r"\*", ".*")}  # fmt: skip
        claims |= {
            name: value for name, value in (("sub", subject), ("jti", ident), ("cdniip", source)) if value
        }
        if renew:
            claims |= {"cdnistt": 1, "cdniets": renew, "cdnistd": 2}
        click.echo(f"{url}{separator}{formats.CDNI_NAME}={formats.sign_jwt(key, claims)}")
    else:
        claims = {"exp": expires_s, "iat": int(now_s), "res": [path]}
        claims |= {
            name: value
            for name, value in (
                ("sub", subject),
                ("net", source),
                ("depot", depot),
                ("jti", ident),
                ("once", once),
            )
            if value
        }
        if methods:
            claims["mth"] = list(methods)
        click.echo(f"Authorization: Bearer {formats.sign_jwt(key, claims)}")


def _build_request(url: str, method: str, source: str, depot: str, fields: tuple[str, ...]) -> Any:
    from urllib.parse import urlsplit

    from stonecove.access.grants import Request
    from stonecove.protocols.http import parse_cookies

    parts = urlsplit(url)
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (field.partition(":") for field in fields)
    }
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    return Request(
        method,
        parts.scheme,
        parts.netloc,
        target,
        source,
        depot,
        headers.get("authorization", ""),
        parse_cookies(headers.get("cookie", "")),
    )


def _request_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option(
            "--field",
            "fields",
            multiple=True,
            help='Header field, such as "Authorization: Bearer ..." or "Cookie: ...".',
        ),
        click.option("--depot", default="", help="Depot that receives the request."),
        click.option("--source", default="127.0.0.1", show_default=True, help="Client address."),
        click.option("--method", default="GET", show_default=True),
        click.argument("url"),
    ):
        command = option(command)
    return command


@token.command("inspect")
@_request_options
def inspect_command(url: str, method: str, source: str, depot: str, fields: tuple[str, ...]) -> None:
    """Show the content of a request's tokens without verification; needs no key."""
    from stonecove.access import formats
    from stonecove.access.grants import TokenError

    try:
        tokens = formats.read(_build_request(url, method, source, depot, fields))
    except TokenError as error:
        click.echo(f"malformed: {error}", err=True)
        sys.exit(EXIT_REFUSED)
    for parsed in tokens:
        grant = parsed.grant
        click.echo(json.dumps({
            "format": grant.format.value, "key": parsed.key_id, "algorithm": parsed.algorithm,
            "expires": grant.expires, "expires_in_s": round(grant.expires - time.time()),
            "not_before": grant.not_before, "issued": grant.issued, "subject": grant.subject,
            "resources": [f"{resource.kind}:{resource.pattern}" for resource in grant.resources],
            "sources": list(map(str, grant.sources)), "depots": grant.depots, "methods": grant.methods,
            "id": grant.token_id, "once": grant.once, "renewed": grant.renewal is not None,
        }))  # fmt: skip
    sys.exit(EXIT_OK if tokens else EXIT_REFUSED)


def _decide(operator: Path, request: Any) -> tuple[Any, Any]:
    """Return the decision of a gate configured by this operator's file, and the policy that applies."""
    from stonecove.access.gate import Gate, Limits
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.operator_config.reader import read
    from stonecove.server.access import AccessError, build_routes, read_key_ring, read_revocations

    try:
        access = read(operator).operator.access
        if access is None:
            raise AccessError(f"{operator}: has no access")
        routes = build_routes(access)
        gate = Gate(routes, read_key_ring(Path(access.ring)), Limits(access.seen, access.checks))
        if access.revoked:
            gate.revoked = read_revocations(Path(access.revoked), time.time())
    except (OperatorError, AccessError) as error:
        _exit_invalid(error)
    item = "/".join(request.path.split("/")[2:4])
    return gate.check(request, item, time.time(), time.monotonic()), routes.find(request.path)


_operator_option = operator_option()


@token.command("verify")
@_operator_option
@_request_options
def verify_command(
    operator: Path, url: str, method: str, source: str, depot: str, fields: tuple[str, ...]
) -> None:
    """Check whether a router with this operator's file would admit a request; print the reason code."""
    decision, _ = _decide(operator, _build_request(url, method, source, depot, fields))
    click.echo(decision.reason.value)
    sys.exit(EXIT_OK if decision.admitted else EXIT_REFUSED)


@token.command("explain")
@_operator_option
@_request_options
def explain_command(
    operator: Path, url: str, method: str, source: str, depot: str, fields: tuple[str, ...]
) -> None:
    """Show the policy that applies, its requirements, and why a request is admitted or refused."""
    from stonecove.access.reasons import status_of

    decision, policy = _decide(operator, _build_request(url, method, source, depot, fields))
    if policy is None:
        click.echo("no policy holds: nothing is asked")
    else:
        format_names = ", ".join(token_format.value for token_format in policy.formats) or "any format"
        click.echo(
            f"policy {policy.prefix}: {format_names}; {', '.join(policy.methods)}; skew {policy.skew:g} s, "
            f"grace {policy.grace:g} s{', once' if policy.once else ''}"
            f"{', depot' if policy.depot else ''}"
        )
    click.echo(
        f"{decision.reason.value}{': ' + decision.log_detail if decision.log_detail else ''}"
        f"{f' (status {status_of(decision.reason)})' if not decision.admitted else ''}"
    )
    if decision.key_id:
        click.echo(f"key {decision.key_id}, subject {decision.subject or '-'}")
    sys.exit(EXIT_OK if decision.admitted else EXIT_REFUSED)


# -- keys --


@click.group()
def keys() -> None:
    """Manage key rings: files that only their owner may read. Exit codes: 0 success, 2 invalid input."""


def _read_table(path: Path) -> dict[str, Any]:
    from stonecove.server.access import AccessError, read_private_json

    try:
        table = read_private_json(path)
    except AccessError as error:
        _exit_invalid(error)
    if not isinstance(table, dict) or not isinstance(table.get("keys"), list):
        _exit_invalid(f"{path}: it is no key ring")
    return dict(table)


def _write_ring(path: Path, table: dict[str, Any]) -> None:
    """Validate the ring, then replace the file atomically; mode 0600 from creation on."""
    from stonecove.access.keys import KeyRing, KeyRingError

    try:
        KeyRing.read(table)
    except KeyRingError as error:
        _exit_invalid(error)
    temporary_path = path.with_name(f"{path.name}.new")
    temporary_path.unlink(missing_ok=True)
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "w") as file:
        json.dump(table, file, indent=1)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)


def _generate_key(
    key_id: str, algorithm: str, formats: tuple[str, ...], not_before_s: float
) -> dict[str, Any]:
    from stonecove.access.keys import KeyRingError, generate

    try:
        return generate(key_id, algorithm, list(formats), not_before_s)
    except KeyRingError as error:
        _exit_invalid(error)


_ring_argument = click.argument("ring", type=click.Path(path_type=Path, dir_okay=False))
_algorithm_option = click.option("--algorithm", default="ES256", show_default=True)
_use_option = click.option(
    "--use",
    "forms",
    multiple=True,
    type=click.Choice(FORMATS),
    help="Token formats that the key may sign; default: any.",
)


@keys.command("generate")
@_ring_argument
@click.argument("ident")
@_algorithm_option
@_use_option
def generate_command(ring: Path, ident: str, algorithm: str, forms: tuple[str, ...]) -> None:
    """Add a new key to a ring, which is created if missing. Prints only the id."""
    table = _read_table(ring) if ring.exists() else {"keys": []}
    _write_ring(ring, {"keys": [*table["keys"], _generate_key(ident, algorithm, forms, time.time())]})
    click.echo(ident)


@keys.command("list")
@_ring_argument
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def list_command(ring: Path, as_json: bool) -> None:
    """List ids, algorithms and validity times, without secrets."""
    now_s = time.time()
    for key in _read_ring(ring).keys.values():
        state = "retired" if key.retired else "signs" if key.signs(now_s) else "verifies"
        entry = {
            "id": key.ident,
            "algorithm": key.algorithm,
            "use": list(key.formats),
            "state": state,
            "from": key.not_before,
            "until": key.not_after if key.not_after != float("inf") else None,
        }
        click.echo(
            json.dumps(entry)
            if as_json
            else f"{key.ident} {key.algorithm} {state} {','.join(key.formats) or 'any'}"
        )


@keys.command("rotate")
@_ring_argument
@click.argument("old")
@click.argument("new")
@click.option(
    "--overlap",
    default=300,
    show_default=True,
    type=click.IntRange(0),
    help="Seconds until the new key starts signing; routers must reload the ring before that (SIGHUP).",
)
def rotate_command(ring: Path, old: str, new: str, overlap: int) -> None:
    """Add a key with OLD's algorithm and formats that replaces OLD for signing after the overlap.

    Tokens that OLD has signed stay valid until it is retired.
    """
    table = _read_table(ring)
    matches = [entry for entry in table["keys"] if entry.get("id") == old]
    if not matches:
        _exit_invalid(f"{ring}: no key {old}")
    start_s = time.time() + overlap
    new_key = _generate_key(new, matches[0]["algorithm"], tuple(matches[0].get("use", [])), start_s)
    _write_ring(
        ring,
        {
            "keys": [
                *({**entry, "until": start_s} if entry is matches[0] else entry for entry in table["keys"]),
                new_key,
            ]
        },
    )
    click.echo(new)


@keys.command("retire")
@_ring_argument
@click.argument("ident")
def retire_command(ring: Path, ident: str) -> None:
    """Retire a key: routers refuse its tokens once they have reloaded the ring (SIGHUP)."""
    table = _read_table(ring)
    if not any(entry.get("id") == ident for entry in table["keys"]):
        _exit_invalid(f"{ring}: no key {ident}")
    _write_ring(
        ring,
        {
            "keys": [
                {**entry, "retired": True} if entry.get("id") == ident else entry for entry in table["keys"]
            ]
        },
    )
    click.echo(ident)
