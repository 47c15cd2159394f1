"""Key rings: keys by id, each for one algorithm and one period of validity.

A ring is a table `{"keys": [{"id", "algorithm", "use": FORMAT..., "secret" | "public" | "private", "from",
"until", "retired"}]}`. An HMAC secret is hex, public and private keys are PEM. Secrets never
appear in messages or in the repr of a key.
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

MIN_SECRET_BYTES = 16
RSA_KEY_BITS = 2048, 8192
MAX_RSA_EXPONENT = 1 << 32  # a larger exponent makes each verification slow
MAX_KEYS = 64

# Algorithms under their JOSE names (RFC 7518), and the ones of the older formats.
HMAC_DIGESTS = {
    "HS256": "sha256",
    "HS384": "sha384",
    "HS512": "sha512",
    "HMAC-SHA256": "sha256",
    "HMAC-SHA1": "sha1",
    "HMAC-MD5": "md5",
}
RSA_HASHES: dict[str, Any] = {
    "RS256": hashes.SHA256,
    "RS384": hashes.SHA384,
    "RS512": hashes.SHA512,
    "RSA-SHA1": hashes.SHA1,
    "RSA-SHA256": hashes.SHA256,
}
EC_HASHES_AND_CURVES: dict[str, tuple[Any, str]] = {
    "ES256": (hashes.SHA256, "secp256r1"),
    "ES384": (hashes.SHA384, "secp384r1"),
    "ECDSA-SHA1": (hashes.SHA1, "secp256r1"),
    "ECDSA-SHA256": (hashes.SHA256, "secp256r1"),
}


_KEY_FIELDS = {"id", "algorithm", "use", "secret", "public", "private", "from", "until", "retired"}


class KeyRingError(ValueError):
    """An invalid key ring; the message identifies a key by its id and contains no secrets."""


@dataclass(frozen=True, slots=True)
class Key:
    """One key. It stops signing at `not_after`; its signatures are accepted until the key is retired."""

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
        """Return whether the key may sign new tokens now."""
        return (
            not self.retired
            and self.not_before <= now < self.not_after
            and (bool(self.secret) or self.private is not None)
        )

    def verify(self, message: bytes, signature: bytes) -> bool:
        """Return whether a signature is valid under this key and its algorithm.

        HMACs are compared in constant time. Never raises for a malformed signature.
        """
        if digest_name := HMAC_DIGESTS.get(self.algorithm):
            return hmac.compare_digest(hmac.digest(self.secret, message, digest_name), signature)
        try:
            if digest := RSA_HASHES.get(self.algorithm):
                self.public.verify(signature, message, padding.PKCS1v15(), digest())
            else:
                hash_class, _ = EC_HASHES_AND_CURVES[self.algorithm]
                if not self.algorithm.startswith("ECDSA"):  # JOSE concatenates r and s (RFC 7518, 3.4)
                    coordinate_bytes = (self.public.curve.key_size + 7) // 8
                    if len(signature) != 2 * coordinate_bytes:
                        return False
                    signature = encode_dss_signature(
                        int.from_bytes(signature[:coordinate_bytes]),
                        int.from_bytes(signature[coordinate_bytes:]),
                    )
                self.public.verify(signature, message, ec.ECDSA(hash_class()))
        except (InvalidSignature, ValueError):
            return False
        return True

    def sign(self, message: bytes) -> bytes:
        """Return the signature of a message; raises KeyRingError for a key without a private part."""
        if digest_name := HMAC_DIGESTS.get(self.algorithm):
            return hmac.digest(self.secret, message, digest_name)
        if self.private is None:
            raise KeyRingError(f"key {self.ident} has no private part")
        if digest := RSA_HASHES.get(self.algorithm):
            return bytes(self.private.sign(message, padding.PKCS1v15(), digest()))
        from cryptography.hazmat.primitives.asymmetric.utils import decode_dss_signature

        hash_class, _ = EC_HASHES_AND_CURVES[self.algorithm]
        signature = bytes(self.private.sign(message, ec.ECDSA(hash_class())))
        if self.algorithm.startswith("ECDSA"):
            return signature
        coordinate_bytes = (self.private.curve.key_size + 7) // 8
        return b"".join(part.to_bytes(coordinate_bytes) for part in decode_dss_signature(signature))


def _validated_public_key(ident: str, algorithm: str, public: Any) -> Any:
    """Return the public key; raises KeyRingError if it is weak, of the wrong type, or slow to verify with."""
    if algorithm in RSA_HASHES:
        if not isinstance(public, rsa.RSAPublicKey):
            raise KeyRingError(f"key {ident}: {algorithm} needs an RSA key")
        if not RSA_KEY_BITS[0] <= public.key_size <= RSA_KEY_BITS[1]:
            raise KeyRingError(
                f"key {ident}: {public.key_size} bits, {RSA_KEY_BITS[0]} to {RSA_KEY_BITS[1]} allowed"
            )
        if public.public_numbers().e > MAX_RSA_EXPONENT:
            raise KeyRingError(f"key {ident}: RSA exponent above {MAX_RSA_EXPONENT}")
    elif (
        not isinstance(public, ec.EllipticCurvePublicKey)
        or public.curve.name != EC_HASHES_AND_CURVES[algorithm][1]
    ):
        raise KeyRingError(f"key {ident}: {algorithm} needs a key on {EC_HASHES_AND_CURVES[algorithm][1]}")
    return public


def parse_key(table: dict[str, Any]) -> Key:
    """Return a key from an entry of a ring; raises KeyRingError."""
    ident = table.get("id")
    if not isinstance(ident, str) or not 0 < len(ident) <= 128:
        raise KeyRingError("a key without an id")
    algorithm = table.get("algorithm")
    if algorithm not in (*HMAC_DIGESTS, *RSA_HASHES, *EC_HASHES_AND_CURVES):
        raise KeyRingError(f"key {ident}: no algorithm {algorithm!r}")
    if unknown := set(table) - _KEY_FIELDS:
        raise KeyRingError(f"key {ident}: unknown field {sorted(unknown)[0]}")
    use = table.get("use", [])
    if not isinstance(use, list) or not all(isinstance(one, str) for one in use):
        raise KeyRingError(f"key {ident}: use is a list of formats")
    secret, public, private = b"", None, None
    try:
        if algorithm in HMAC_DIGESTS:
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
    if algorithm in HMAC_DIGESTS and len(secret) < MIN_SECRET_BYTES:
        raise KeyRingError(f"key {ident}: a secret of {len(secret)} bytes, {MIN_SECRET_BYTES} at least")
    if algorithm not in HMAC_DIGESTS:
        public = _validated_public_key(ident, algorithm, public)
    if not first < last:
        raise KeyRingError(f"key {ident}: from is not before until")
    return Key(
        ident, algorithm, tuple(use), first, last, bool(table.get("retired", False)), secret, public, private
    )


class KeyRing:
    """Keys by id."""

    def __init__(self, keys: Iterable[Key] = ()) -> None:
        """Index the keys; raises KeyRingError for a duplicate id or too many keys."""
        self.keys: dict[str, Key] = {}
        for key in keys:
            if key.ident in self.keys:
                raise KeyRingError(f"key {key.ident} is there twice")
            self.keys[key.ident] = key
        if len(self.keys) > MAX_KEYS:
            raise KeyRingError(f"{len(self.keys)} keys, {MAX_KEYS} at most")

    @classmethod
    def read(cls, table: Any) -> KeyRing:
        """Return a ring from parsed JSON; raises KeyRingError."""
        if not isinstance(table, dict) or not isinstance(table.get("keys"), list):
            raise KeyRingError("a ring is an object with a list `keys`")
        if not all(isinstance(one, dict) for one in table["keys"]):
            raise KeyRingError("a key is an object")
        return cls(parse_key(one) for one in table["keys"])

    def signer(self, now: float, token_format: str) -> Key | None:
        """Return the key that signs new tokens of a format: the newest valid one; None if there is none."""
        candidates = [
            key
            for key in self.keys.values()
            if key.signs(now) and (not key.formats or token_format in key.formats)
        ]
        return max(candidates, key=lambda key: (key.not_before, key.ident), default=None)


def generate(ident: str, algorithm: str, formats: list[str], now: float) -> dict[str, Any]:
    """Return a new key as an entry of a ring; raises KeyRingError for an unknown algorithm."""
    import secrets

    if algorithm not in (*HMAC_DIGESTS, *RSA_HASHES, *EC_HASHES_AND_CURVES):
        raise KeyRingError(f"no algorithm {algorithm!r}")
    table: dict[str, Any] = {"id": ident, "algorithm": algorithm, "use": formats, "from": now}
    if algorithm in HMAC_DIGESTS:
        return {**table, "secret": secrets.token_hex(32)}
    private: Any
    if algorithm in RSA_HASHES:
        private = rsa.generate_private_key(65537, RSA_KEY_BITS[0])
    else:
        private = ec.generate_private_key(ec.SECP384R1() if algorithm == "ES384" else ec.SECP256R1())
    pem = private.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return {**table, "private": pem.decode()}
