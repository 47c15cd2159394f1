"""Tests of the `stonecove token` and `stonecove keys` commands."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from stonecove.commands.main import cli

URL = "http://edge.example/svc/image/7f3a9c21e0b4d655/0"


def run(*arguments: str, code: int = 0) -> str:
    """Run a command, check its exit code and return its output."""
    result = CliRunner().invoke(cli, list(arguments))
    assert result.exit_code == code, (arguments, result.exit_code, result.output)
    return result.output.strip()


@pytest.fixture
def operator(tmp_path: Path) -> Path:
    """Return an operator's file whose key ring has a key for each token format."""
    ring = tmp_path / "ring.json"
    for key_id, algorithm, token_format in (
        ("rsa", "RSA-SHA256", "cloudfront"),
        ("mac", "HMAC-SHA256", "edge-auth"),
        ("ec", "ES256", "cdni"),
        ("web", "ES256", "bearer"),
    ):
        assert (
            run("keys", "generate", str(ring), key_id, "--algorithm", algorithm, "--use", token_format)
            == key_id
        )
    assert ring.stat().st_mode & 0o777 == 0o600
    path = tmp_path / "operator.cue"
    path.write_text(f'access: {{ring: "{ring}"\npolicies: [{{prefix: "/svc"}}]}}\n')
    return path


@pytest.mark.parametrize("form", ["cloudfront", "edge-auth", "cdni", "bearer"])
def test_a_signed_token_is_verified_and_explained_until_its_key_is_retired(operator: Path, form: str) -> None:
    ring = str(operator.parent / "ring.json")
    signed = run("token", "sign", "--ring", ring, "--format", form, "--url", URL, "--subject", "p")
    arguments = (
        ["--operator", str(operator), URL, "--field", signed]
        if form == "bearer"
        else ["--operator", str(operator), signed]
    )
    assert run("token", "verify", *arguments) == "good"
    assert "policy /svc" in run("token", "explain", *arguments)
    inspected = json.loads(run("token", "inspect", *arguments[2:]))
    assert inspected["format"] == form and 290 <= inspected["expires_in_s"] <= 300
    assert run("token", "verify", *arguments, "--method", "POST", code=1) == "method"
    run("keys", "retire", ring, inspected["key"])
    assert run("token", "verify", *arguments, code=1) == "key-retired"
    assert "status 403" in run("token", "explain", *arguments, code=1)


def test_rotation_has_an_overlap_and_prints_no_secret(operator: Path) -> None:
    ring = operator.parent / "ring.json"
    signed = run("token", "sign", "--ring", str(ring), "--url", URL)
    run("keys", "rotate", str(ring), "web", "web2", "--overlap", "0")
    states = {
        key["id"]: key["state"]
        for key in map(json.loads, run("keys", "list", str(ring), "--json").splitlines())
    }
    assert states["web"] == "verifies" and states["web2"] == "signs"
    assert run("token", "verify", "--operator", str(operator), URL, "--field", signed) == "good"
    secrets = [
        key[name]
        for key in json.loads(ring.read_text())["keys"]
        for name in ("secret", "private")
        if name in key
    ]
    shown = run("keys", "list", str(ring))
    assert len(secrets) == 5 and not any(secret in shown for secret in secrets)


def test_invalid_arguments_exit_with_2_and_leave_the_ring_unchanged(operator: Path) -> None:
    ring = operator.parent / "ring.json"
    before = ring.read_bytes()
    run("keys", "generate", str(ring), "web", code=2)  # duplicate id
    run("keys", "generate", str(ring), "x", "--algorithm", "none", code=2)
    run("keys", "retire", str(ring), "nobody", code=2)
    run("keys", "rotate", str(ring), "nobody", "x", code=2)
    assert ring.read_bytes() == before
    ring.chmod(0o644)
    assert "rights" in run("keys", "list", str(ring), code=2)
    run("token", "inspect", URL, code=1)
    run("token", "inspect", URL, "--field", "Authorization: Bearer x.y.z", code=1)
