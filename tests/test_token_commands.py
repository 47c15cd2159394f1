"""Tests of the `stonecove token` and `stonecove keys` commands."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from stonecove.commands.main import cli

URL = "http://edge.example/svc/image/7f3a9c21e0b4d655/0"


def run(*arguments: str, exit_code: int = 0) -> str:
    """Run a command, check its exit code and return its output."""
    result = CliRunner().invoke(cli, list(arguments))
    assert result.exit_code == exit_code, (arguments, result.exit_code, result.output)
    return result.output.strip()


@pytest.fixture
def operator_file(tmp_path: Path) -> Path:
    """Return the path of an operator file whose key ring has a key for each token format."""
    ring_file = tmp_path / "ring.json"
    for key_id, algorithm, token_format in (
        ("rsa", "RSA-SHA256", "cloudfront"),
        ("mac", "HMAC-SHA256", "edge-auth"),
        ("ec", "ES256", "cdni"),
        ("web", "ES256", "bearer"),
    ):
        assert (
            run("keys", "generate", str(ring_file), key_id, "--algorithm", algorithm, "--use", token_format)
            == key_id
        )
    assert ring_file.stat().st_mode & 0o777 == 0o600
    operator_path = tmp_path / "operator.cue"
    operator_path.write_text(f'access: {{ring: "{ring_file}"\npolicies: [{{prefix: "/svc"}}]}}\n')
    return operator_path


@pytest.mark.parametrize("token_format", ["cloudfront", "edge-auth", "cdni", "bearer"])
def test_a_signed_token_is_verified_and_explained_until_its_key_is_retired(
    operator_file: Path, token_format: str
) -> None:
    ring_file = str(operator_file.parent / "ring.json")
    token = run(
        "token", "sign", "--ring", ring_file, "--format", token_format, "--url", URL, "--subject", "p"
    )
    arguments = (
        ["--operator", str(operator_file), URL, "--field", token]
        if token_format == "bearer"
        else ["--operator", str(operator_file), token]
    )
    assert run("token", "verify", *arguments) == "good"
    assert "policy /svc" in run("token", "explain", *arguments)
    inspected = json.loads(run("token", "inspect", *arguments[2:]))
    assert inspected["format"] == token_format and 290 <= inspected["expires_in_s"] <= 300
    assert run("token", "verify", *arguments, "--method", "POST", exit_code=1) == "method"
    run("keys", "retire", ring_file, inspected["key"])
    assert run("token", "verify", *arguments, exit_code=1) == "key-retired"
    assert "status 403" in run("token", "explain", *arguments, exit_code=1)


def test_a_rotated_key_still_verifies_and_no_secret_is_printed(operator_file: Path) -> None:
    ring_file = operator_file.parent / "ring.json"
    token = run("token", "sign", "--ring", str(ring_file), "--url", URL)
    run("keys", "rotate", str(ring_file), "web", "web2", "--overlap", "0")
    states = {
        key["id"]: key["state"]
        for key in map(json.loads, run("keys", "list", str(ring_file), "--json").splitlines())
    }
    assert states["web"] == "verifies" and states["web2"] == "signs"
    assert run("token", "verify", "--operator", str(operator_file), URL, "--field", token) == "good"
    secrets = [
        key[name]
        for key in json.loads(ring_file.read_text())["keys"]
        for name in ("secret", "private")
        if name in key
    ]
    listing = run("keys", "list", str(ring_file))
    assert len(secrets) == 5 and not any(secret in listing for secret in secrets)


def test_invalid_arguments_exit_with_2_and_leave_the_ring_unchanged(operator_file: Path) -> None:
    ring_file = operator_file.parent / "ring.json"
    original = ring_file.read_bytes()
    run("keys", "generate", str(ring_file), "web", exit_code=2)  # duplicate id
    run("keys", "generate", str(ring_file), "x", "--algorithm", "none", exit_code=2)
    run("keys", "retire", str(ring_file), "nobody", exit_code=2)
    run("keys", "rotate", str(ring_file), "nobody", "x", exit_code=2)
    assert ring_file.read_bytes() == original
    ring_file.chmod(0o644)
    assert "rights" in run("keys", "list", str(ring_file), exit_code=2)
    run("token", "inspect", URL, exit_code=1)
    run("token", "inspect", URL, "--field", "Authorization: Bearer x.y.z", exit_code=1)
