"""`stonecove token` and `stonecove keys`: makes, reads and explains tokens, and keeps key rings."""

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

GOOD, REFUSED, UNUSABLE = 0, 1, 2
FORMATS = ("cloudfront", "edge-auth", "cdni", "bearer")

_ring_option = click.option(
    "--ring", required=True, type=click.Path(path_type=Path), help="A key ring, or a folder of them."
)


def _unusable(error: Exception | str) -> NoReturn:
    click.echo(f"stonecove: {error}", err=True)
    sys.exit(UNUSABLE)


def _ring(path: Path) -> Any:
    from stonecove.server.access import AccessError, read_key_ring

    try:
        return read_key_ring(path)
    except AccessError as error:
        _unusable(error)


@click.group()
def token() -> None:
    """Make, read and explain signed URLs and tokens. Ends with 0; 1: refused, 2: can't be used."""


@token.command("sign")
@_ring_option
@click.option("--format", "form", type=click.Choice(FORMATS), default="bearer", show_default=True)
@click.option("--url", required=True, help="http://HOST/PATH that it is for; * as the format has it.")
@click.option("--for", "seconds", default=300, show_default=True, type=click.IntRange(1), help="Seconds.")
@click.option("--subject", default="", help="Who it is for.")
@click.option("--source", default="", help="A network that it is bound to.")
@click.option("--depot", default="", help="A depot that it is bound to.")
@click.option("--method", "methods", multiple=True, help="Methods that it is good for.")
@click.option("--id", "ident", default="", help="An id, by which it can be revoked.")
@click.option("--once", is_flag=True, help="Good for one request.")
@click.option("--renew", default=0, type=click.IntRange(0, 86_400), help="CDNI: renewed for so many seconds.")
def sign_command(
    ring: Path, form: str, url: str, seconds: int, subject: str, source: str, depot: str,
    methods: tuple[str, ...], ident: str, once: bool, renew: int,
) -> None:  # fmt: skip
    """Make a token; prints the whole URL, or the field that carries it."""
    from urllib.parse import urlsplit

    from stonecove.access import formats

    now = time.time()
    key = _ring(ring).signer(now, form)
    if key is None:
        _unusable(f"no key of the ring signs {form} now")
    path, until = urlsplit(url).path, int(now) + seconds
    joined = "&" if "?" in url else "?"
    if form == "cloudfront":
        plain = not (source or "*" in url)
        policy = formats.canned_policy(url, until) if plain else formats.custom_policy(url, until, 0, source)
        pairs = formats.sign_cloudfront(key, policy, plain, until)
        click.echo(url + joined + "&".join(f"{name}={value}" for name, value in pairs))
    elif form == "edge-auth":
        data = {"kid": key.ident, "depot": depot, "jti": ident, "once": "1" if once else ""}
        text = formats.sign_edge_auth(
            key, until, acl=path, source=source, subject=subject,
            data=",".join(f"{name}:{value}" for name, value in data.items() if value))  # fmt: skip
        click.echo(f"{url}{joined}{formats.EDGE_NAME}={text}")
    elif form == "cdni":
        import re

        claims: dict[str, Any] = {
            "exp": until, "iat": int(now), "cdniv": 1,
            "cdniuc": "regex:" + re.escape(url).replace(r"\*", ".*")}  # fmt: skip
        claims |= {
            name: value for name, value in (("sub", subject), ("jti", ident), ("cdniip", source)) if value
        }
        if renew:
            claims |= {"cdnistt": 1, "cdniets": renew, "cdnistd": 2}
        click.echo(f"{url}{joined}{formats.CDNI_NAME}={formats.sign_jwt(key, claims)}")
    else:
        claims = {"exp": until, "iat": int(now), "res": [path]}
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


def _request(url: str, method: str, source: str, depot: str, fields: tuple[str, ...]) -> Any:
    from urllib.parse import urlsplit

    from stonecove.access.grants import Request
    from stonecove.protocols.http import parse_cookies

    parts = urlsplit(url)
    told = {name.strip().lower(): value.strip() for name, _, value in (one.partition(":") for one in fields)}
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    return Request(
        method,
        parts.scheme,
        parts.netloc,
        target,
        source,
        depot,
        told.get("authorization", ""),
        parse_cookies(told.get("cookie", "")),
    )


def _what(command: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option(
            "--field", "fields", multiple=True, help='Like "Authorization: Bearer ..." or "Cookie: ...".'
        ),
        click.option("--depot", default="", help="The depot that is asked."),
        click.option("--source", default="127.0.0.1", show_default=True, help="Who asks."),
        click.option("--method", default="GET", show_default=True),
        click.argument("url"),
    ):
        command = option(command)
    return command


@token.command("inspect")
@_what
def inspect_command(url: str, method: str, source: str, depot: str, fields: tuple[str, ...]) -> None:
    """Show what the tokens of a request say. Checks nothing: no key is needed."""
    from stonecove.access import formats
    from stonecove.access.grants import TokenError

    try:
        found = formats.read(_request(url, method, source, depot, fields))
    except TokenError as error:
        click.echo(f"malformed: {error}", err=True)
        sys.exit(REFUSED)
    for one in found:
        grant = one.grant
        click.echo(json.dumps({
            "format": grant.format.value, "key": one.key_id, "algorithm": one.algorithm,
            "expires": grant.expires, "expires_in_s": round(grant.expires - time.time()),
            "not_before": grant.not_before, "issued": grant.issued, "subject": grant.subject,
            "resources": [f"{which.kind}:{which.pattern}" for which in grant.resources],
            "sources": list(map(str, grant.sources)), "depots": grant.depots, "methods": grant.methods,
            "id": grant.token_id, "once": grant.once, "renewed": grant.renewal is not None,
        }))  # fmt: skip
    sys.exit(GOOD if found else REFUSED)


def _decided(operator: Path, request: Any) -> tuple[Any, Any]:
    """The decision of a gate as this operator's file makes one, and the policy that holds."""
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
        _unusable(error)
    item = "/".join(request.path.split("/")[2:4])
    return gate.check(request, item, time.time(), time.monotonic()), routes.find(request.path)


_operator_option = operator_option()


@token.command("verify")
@_operator_option
@_what
def verify_command(
    operator: Path, url: str, method: str, source: str, depot: str, fields: tuple[str, ...]
) -> None:
    """Say whether a router with this file would let a request in; prints the reason's code."""
    decision, _ = _decided(operator, _request(url, method, source, depot, fields))
    click.echo(decision.reason.value)
    sys.exit(GOOD if decision.admitted else REFUSED)


@token.command("explain")
@_operator_option
@_what
def explain_command(
    operator: Path, url: str, method: str, source: str, depot: str, fields: tuple[str, ...]
) -> None:
    """Tell the policy that holds, what is asked, and why a request is let in or refused."""
    from stonecove.access.reasons import status_of

    decision, policy = _decided(operator, _request(url, method, source, depot, fields))
    if policy is None:
        click.echo("no policy holds: nothing is asked")
    else:
        forms = ", ".join(form.value for form in policy.formats) or "any format"
        click.echo(
            f"policy {policy.prefix}: {forms}; {', '.join(policy.methods)}; skew {policy.skew:g} s, "
            f"grace {policy.grace:g} s{', once' if policy.once else ''}"
            f"{', depot' if policy.depot else ''}"
        )
    click.echo(
        f"{decision.reason.value}{': ' + decision.log_detail if decision.log_detail else ''}"
        f"{f' (status {status_of(decision.reason)})' if not decision.admitted else ''}"
    )
    if decision.key_id:
        click.echo(f"key {decision.key_id}, subject {decision.subject or '-'}")
    sys.exit(GOOD if decision.admitted else REFUSED)


# -- keys --


@click.group()
def keys() -> None:
    """Keep key rings: files that nobody else may read. Ends with 0; 2: can't be used."""


def _table(path: Path) -> dict[str, Any]:
    from stonecove.server.access import AccessError, read_private_json

    try:
        table = read_private_json(path)
    except AccessError as error:
        _unusable(error)
    if not isinstance(table, dict) or not isinstance(table.get("keys"), list):
        _unusable(f"{path}: it is no key ring")
    return dict(table)


def _write(path: Path, table: dict[str, Any]) -> None:
    """Whole or not at all, rights 0600 from the first byte; checked before it takes the old one's place."""
    from stonecove.access.keys import KeyRing, KeyRingError

    try:
        KeyRing.read(table)
    except KeyRingError as error:
        _unusable(error)
    part = path.with_name(f"{path.name}.new")
    part.unlink(missing_ok=True)
    descriptor = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "w") as file:
        json.dump(table, file, indent=1)
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)


def _new(ident: str, algorithm: str, forms: tuple[str, ...], start: float) -> dict[str, Any]:
    from stonecove.access.keys import KeyRingError, generate

    try:
        return generate(ident, algorithm, list(forms), start)
    except KeyRingError as error:
        _unusable(error)


_ring_file = click.argument("ring", type=click.Path(path_type=Path, dir_okay=False))
_algorithm = click.option("--algorithm", default="ES256", show_default=True)
_use = click.option("--use", "forms", multiple=True, type=click.Choice(FORMATS), help="Formats; none: any.")


@keys.command("generate")
@_ring_file
@click.argument("ident")
@_algorithm
@_use
def generate_command(ring: Path, ident: str, algorithm: str, forms: tuple[str, ...]) -> None:
    """Add a new key to a ring, which is made if it is not there. Prints the id alone."""
    table = _table(ring) if ring.exists() else {"keys": []}
    _write(ring, {"keys": [*table["keys"], _new(ident, algorithm, forms, time.time())]})
    click.echo(ident)


@keys.command("list")
@_ring_file
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_command(ring: Path, as_json: bool) -> None:
    """Show ids, algorithms and times; nothing secret."""
    now = time.time()
    for key in _ring(ring).keys.values():
        state = "retired" if key.retired else "signs" if key.signs(now) else "verifies"
        told = {
            "id": key.ident,
            "algorithm": key.algorithm,
            "use": list(key.formats),
            "state": state,
            "from": key.not_before,
            "until": key.not_after if key.not_after != float("inf") else None,
        }
        click.echo(
            json.dumps(told)
            if as_json
            else f"{key.ident} {key.algorithm} {state} {','.join(key.formats) or 'any'}"
        )


@keys.command("rotate")
@_ring_file
@click.argument("old")
@click.argument("new")
@click.option(
    "--overlap",
    default=300,
    show_default=True,
    type=click.IntRange(0),
    help="Seconds after which the new one signs; routers read it before that (SIGHUP).",
)
def rotate_command(ring: Path, old: str, new: str, overlap: int) -> None:
    """Add a key like OLD that signs from the end of the overlap on, and end OLD's signing then.

    What OLD has signed stays good until it is retired.
    """
    table = _table(ring)
    found = [one for one in table["keys"] if one.get("id") == old]
    if not found:
        _unusable(f"{ring}: no key {old}")
    start = time.time() + overlap
    made = _new(new, found[0]["algorithm"], tuple(found[0].get("use", [])), start)
    _write(
        ring,
        {"keys": [*({**one, "until": start} if one is found[0] else one for one in table["keys"]), made]},
    )
    click.echo(new)


@keys.command("retire")
@_ring_file
@click.argument("ident")
def retire_command(ring: Path, ident: str) -> None:
    """Refuse everything that a key has signed, once routers have read the ring (SIGHUP)."""
    table = _table(ring)
    if not any(one.get("id") == ident for one in table["keys"]):
        _unusable(f"{ring}: no key {ident}")
    _write(
        ring, {"keys": [{**one, "retired": True} if one.get("id") == ident else one for one in table["keys"]]}
    )
    click.echo(ident)
