"""Ed25519 signatures of changes."""

from __future__ import annotations

import dataclasses

import result
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from yuccapitch.catalogue import ids, loading

SIGNATURE_DOMAIN = "yuccapitch change v1"
PRIVATE_KEY_BYTES = 32


@dataclasses.dataclass(frozen=True)
class SignedContent:
    """The content that a signature covers."""

    change_id: ids.ChangeId
    base_version: ids.Version
    declaration_digest: str
    reason: str
    owner: ids.OwnerId
    public_key: str

    def to_bytes(self) -> bytes:
        """Return the canonical encoding that is signed."""
        return loading.canonical_json(
            {"domain": SIGNATURE_DOMAIN, **dataclasses.asdict(self)}
        )


@dataclasses.dataclass(frozen=True)
class InvalidKey:
    """Why a private key is invalid."""

    message: str


def generate_private_key() -> str:
    """Return a new private key in hexadecimal."""
    return ed25519.Ed25519PrivateKey.generate().private_bytes_raw().hex()


def parse_private_key(text: str) -> result.Result[str, InvalidKey]:
    """Return the private key in the text of a key file."""
    lines = [line.strip() for line in text.splitlines()]
    keys = [line for line in lines if line and not line.startswith("#")]
    if len(keys) != 1:
        return result.Err(InvalidKey("expected one line of 64 hexadecimal digits"))
    try:
        raw = bytes.fromhex(keys[0])
    except ValueError:
        return result.Err(InvalidKey("the key is not hexadecimal"))
    if len(raw) != PRIVATE_KEY_BYTES:
        return result.Err(InvalidKey("the key must have 64 hexadecimal digits"))
    return result.Ok(keys[0].lower())


def derive_public_key(private_key: str) -> str:
    """Return the public key of a private key, both in hexadecimal."""
    return _load_private_key(private_key).public_key().public_bytes_raw().hex()


def sign(private_key: str, content: SignedContent) -> str:
    """Return the signature of the content in hexadecimal."""
    return _load_private_key(private_key).sign(content.to_bytes()).hex()


def verify(content: SignedContent, signature: str) -> bool:
    """Return whether the signature matches the content and its public key."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(content.public_key)
        )
        key.verify(bytes.fromhex(signature), content.to_bytes())
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def _load_private_key(private_key: str) -> ed25519.Ed25519PrivateKey:
    return ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_key))
