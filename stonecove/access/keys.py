"""Key rings: several live keys by id, each for one algorithm, with a time from and until which it is good.

A ring is a table `{"keys": [{"id", "algorithm", "use": FORMAT..., "secret" | "public" | "private", "from",
"until", "retired"}]}`. An HMAC secret is hex, public and private keys are PEM. Nothing here prints a secret.
"""

from __future__ import annotations

import hmac
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, padding, rsa
from cryptography.hazmat.primitives.asymmetric.utils import encode_dss_signature

LEAST_SECRET = 16  # bytes
RSA_BITS = 2048, 8192
MOST_EXPONENT = 1 << 32  # a huge one makes each check slow
MOST_KEYS = 64

# Algorithms: JOSE names (RFC 7518), and those of formats that are older.
HMACS = {
    "HS256": "sha256",
    "HS384": "sha384",
    "HS512": "sha512",
    "HMAC-SHA256": "sha256",
    "HMAC-SHA1": "sha1",
    "HMAC-MD5": "md5",
}
RSAS: dict[str, Any] = {
    "RS256": hashes.SHA256,
    "RS384": hashes.SHA384,
    "RS512": hashes.SHA512,
    "RSA-SHA1": hashes.SHA1,
    "RSA-SHA256": hashes.SHA256,
}
ECS: dict[str, tuple[Any, str]] = {
    "ES256": (hashes.SHA256, "secp256r1"),
    "ES384": (hashes.SHA384, "secp384r1"),
    "ECDSA-SHA1": (hashes.SHA1, "secp256r1"),
    "ECDSA-SHA256": (hashes.SHA256, "secp256r1"),
}


_FIELDS = {"id", "algorithm", "use", "secret", "public", "private", "from", "until", "retired"}


class KeyRingError(ValueError):
    """A ring that can't be used; names the key by its id, never by what is secret."""


@dataclass(frozen=True, slots=True)
class Key:
    """One key. `until` is when it stops signing; what it signed is accepted until it is retired."""

    ident: str
    algorithm: str
    formats: tuple[str, ...]
    not_before: float = 0.0
    not_after: float = math.inf
    retired: bool = False
    secret: bytes = field(default=b"", repr=False)
    public: Any = field(default=None, repr=False)
    private: Any = field(default=None, repr=False)

    def signs(self, now: float) -> bool:
        """Whether new tokens may be signed with it now."""
        return (
            not self.retired
            and self.not_before <= now < self.not_after
            and (bool(self.secret) or self.private is not None)
        )

    def verify(self, message: bytes, signature: bytes) -> bool:
        """Whether the signature is this key's, by the one algorithm that it is for; in constant time for
        HMAC. Never raises for what a stranger may present.
        """
        if name := HMACS.get(self.algorithm):
            return hmac.compare_digest(hmac.digest(self.secret, message, name), signature)
        try:
            if digest := RSAS.get(self.algorithm):
                self.public.verify(signature, message, padding.PKCS1v15(), digest())
            else:
                hashed, _ = ECS[self.algorithm]
                if not self.algorithm.startswith("ECDSA"):  # JOSE has r and s side by side (RFC 7518, 3.4)
                    half = (self.public.curve.key_size + 7) // 8
                    if len(signature) != 2 * half:
                        return False
                    signature = encode_dss_signature(
                        int.from_bytes(signature[:half]), int.from_bytes(signature[half:])
                    )
                self.public.verify(signature, message, ec.ECDSA(hashed()))
        except (InvalidSignature, ValueError):
            return False
        return True

    def sign(self, message: bytes) -> bytes:
        """Raises KeyRingError for a key that only verifies."""
        if name := HMACS.get(self.algorithm):
            return hmac.digest(self.secret, message, name)
        if self.private is None:
            raise KeyRingError(f"key {self.ident} has no private part")
        if digest := RSAS.get(self.algorithm):
            return bytes(self.private.sign(message, padding.PKCS1v15(), digest()))
        from cryptography.hazmat.primitives.asymmetric.utils import decode_dss_signature

        hashed, _ = ECS[self.algorithm]
        signature = bytes(self.private.sign(message, ec.ECDSA(hashed())))
        if self.algorithm.startswith("ECDSA"):
            return signature
        half = (self.private.curve.key_size + 7) // 8
        return b"".join(part.to_bytes(half) for part in decode_dss_signature(signature))


def _public(ident: str, algorithm: str, public: Any) -> Any:
    """Guards against keys that are weak, of another kind, or made to be slow."""
    if algorithm in RSAS:
        if not isinstance(public, rsa.RSAPublicKey):
            raise KeyRingError(f"key {ident}: {algorithm} needs an RSA key")
        if not RSA_BITS[0] <= public.key_size <= RSA_BITS[1]:
            raise KeyRingError(f"key {ident}: {public.key_size} bits, {RSA_BITS[0]} to {RSA_BITS[1]} wanted")
        if public.public_numbers().e > MOST_EXPONENT:
            raise KeyRingError(f"key {ident}: an exponent above {MOST_EXPONENT}")
    elif not isinstance(public, ec.EllipticCurvePublicKey) or public.curve.name != ECS[algorithm][1]:
        raise KeyRingError(f"key {ident}: {algorithm} needs a key on {ECS[algorithm][1]}")
    return public


def key_of(table: dict[str, Any]) -> Key:
    """One key of a ring; raises KeyRingError."""
    ident = table.get("id")
    if not isinstance(ident, str) or not 0 < len(ident) <= 128:
        raise KeyRingError("a key without an id")
    algorithm = table.get("algorithm")
    if algorithm not in (*HMACS, *RSAS, *ECS):
        raise KeyRingError(f"key {ident}: no algorithm {algorithm!r}")
    if unknown := set(table) - _FIELDS:
        raise KeyRingError(f"key {ident}: unknown field {sorted(unknown)[0]}")
    use = table.get("use", [])
    if not isinstance(use, list) or not all(isinstance(one, str) for one in use):
        raise KeyRingError(f"key {ident}: use is a list of formats")
    secret, public, private = b"", None, None
    try:
        if algorithm in HMACS:
            secret = bytes.fromhex(str(table["secret"]))
        elif "private" in table:
            private = serialization.load_pem_private_key(str(table["private"]).encode(), None)
            public = private.public_key()
        else:
            public = serialization.load_pem_public_key(str(table["public"]).encode())
        first, last = float(table.get("from", 0.0)), float(table.get("until", math.inf))
    except KeyError as error:
        raise KeyRingError(f"key {ident}: {error.args[0]} is missing") from None
    except (ValueError, TypeError, UnsupportedAlgorithm):
        raise KeyRingError(f"key {ident}: it can't be read") from None
    if algorithm in HMACS and len(secret) < LEAST_SECRET:
        raise KeyRingError(f"key {ident}: a secret of {len(secret)} bytes, {LEAST_SECRET} at least")
    if algorithm not in HMACS:
        public = _public(ident, algorithm, public)
    if not first < last:
        raise KeyRingError(f"key {ident}: from is not before until")
    return Key(
        ident, algorithm, tuple(use), first, last, bool(table.get("retired", False)), secret, public, private
    )


class KeyRing:
    """All keys that are known, by id."""

    def __init__(self, keys: Iterable[Key] = ()) -> None:
        """Raises KeyRingError for an id that is there twice."""
        self.keys: dict[str, Key] = {}
        for key in keys:
            if key.ident in self.keys:
                raise KeyRingError(f"key {key.ident} is there twice")
            self.keys[key.ident] = key
        if len(self.keys) > MOST_KEYS:
            raise KeyRingError(f"{len(self.keys)} keys, {MOST_KEYS} at most")

    @classmethod
    def read(cls, table: Any) -> KeyRing:
        """Raises KeyRingError."""
        if not isinstance(table, dict) or not isinstance(table.get("keys"), list):
            raise KeyRingError("a ring is an object with a list `keys`")
        if not all(isinstance(one, dict) for one in table["keys"]):
            raise KeyRingError("a key is an object")
        return cls(key_of(one) for one in table["keys"])

    def signer(self, now: float, form: str) -> Key | None:
        """The key that signs now: of those that may, the one that came last."""
        able = [
            key for key in self.keys.values() if key.signs(now) and (not key.formats or form in key.formats)
        ]
        return max(able, key=lambda key: (key.not_before, key.ident), default=None)


def generate(ident: str, algorithm: str, formats: list[str], now: float) -> dict[str, Any]:
    """A new key as a table of a ring; raises KeyRingError."""
    import secrets

    if algorithm not in (*HMACS, *RSAS, *ECS):
        raise KeyRingError(f"no algorithm {algorithm!r}")
    table: dict[str, Any] = {"id": ident, "algorithm": algorithm, "use": formats, "from": now}
    if algorithm in HMACS:
        return {**table, "secret": secrets.token_hex(32)}
    private: Any
    if algorithm in RSAS:
        private = rsa.generate_private_key(65537, RSA_BITS[0])
    else:
        private = ec.generate_private_key(ec.SECP384R1() if algorithm == "ES384" else ec.SECP256R1())
    pem = private.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return {**table, "private": pem.decode()}
