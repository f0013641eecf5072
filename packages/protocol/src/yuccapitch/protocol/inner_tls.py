"""Mutual TLS for inner links: self-signed certificates pinned by a trust directory.

Each `*.pem` file in the trust directory is the certificate of one trusted peer; the
peer's id is the certificate's common name. Changed files are reloaded before the next
handshake, so certificates can be rotated without a restart.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import pathlib
import ssl
import typing

import result
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from yuccapitch.protocol import bounded_file, events

HANDSHAKE_TIMEOUT_S = 5.0
CERTIFICATE_DAYS = 3650
CLOCK_SKEW_DAYS = 1
"""Certificates are backdated by this time, for peers whose clocks are behind."""
MAX_CERTIFICATE_BYTES = 64 * 1024
_KEY_MODE = 0o600


@dataclasses.dataclass(frozen=True)
class TlsError:
    """Reason why certificates cannot be used or a peer was refused."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Identity:
    """A private key and its self-signed certificate, both PEM encoded."""

    key_pem: bytes
    certificate_pem: bytes


@dataclasses.dataclass(frozen=True)
class _TlsState:
    """TLS contexts and pinned certificates from one consistent read of all files."""

    server: ssl.SSLContext
    client: ssl.SSLContext
    ids_by_fingerprint: dict[bytes, str]


# Path, inode, size and modification time of each file, to detect changes.
_FileStats = tuple[tuple[str, int, int, int], ...]


class InnerTls:
    """The TLS contexts of one instance and its trusted peers."""

    def __init__(
        self, certificate: pathlib.Path, key: pathlib.Path, trust_dir: pathlib.Path
    ) -> None:
        self._certificate = certificate
        self._key = key
        self._trust_dir = trust_dir
        self._file_stats = self._read_file_stats()
        self._state = self._load()
        # Every accepted connection starts its handshake with this context; the callback
        # then replaces it by one with the current certificates.
        self._listening_context = _create_context(ssl.PROTOCOL_TLS_SERVER)
        self._listening_context.load_cert_chain(certificate, key)
        self._listening_context.sni_callback = self._select_current_context

    @classmethod
    def open(
        cls, certificate: pathlib.Path, key: pathlib.Path, trust_dir: pathlib.Path
    ) -> result.Result[InnerTls, TlsError]:
        """Load the certificate, the key and the trusted certificates."""
        try:
            return result.Ok(cls(certificate, key, trust_dir))
        except (OSError, ValueError) as error:
            return result.Err(TlsError(str(error)))

    def server_context(self) -> ssl.SSLContext:
        """Return the context for accepted connections; handshakes use current files."""
        return self._listening_context

    def client_context(self) -> ssl.SSLContext:
        """Return the current context for an outgoing connection."""
        self.refresh()
        return self._state.client

    def peer_id(self, ssl_object: ssl.SSLObject | ssl.SSLSocket | None) -> str | None:
        """Return the id of the peer; None if its certificate is not trusted."""
        certificate = ssl_object.getpeercert(True) if ssl_object is not None else None
        if certificate is None:
            return None
        # The whole certificate is pinned, so no peer can issue one for another id.
        return self._state.ids_by_fingerprint.get(_fingerprint(certificate))

    def trusted_ids(self) -> frozenset[str]:
        """Return the ids of all trusted peers."""
        return frozenset(self._state.ids_by_fingerprint.values())

    def refresh(self) -> bool:
        """Reload changed files; return whether new ones are in use."""
        try:
            file_stats = self._read_file_stats()
            if file_stats == self._file_stats:
                return False
            self._file_stats = file_stats
            self._state = self._load()
        except (OSError, ValueError) as error:
            events.event("tls.reload-failed", reason=str(error))
            return False
        events.event("tls.reloaded", peers=len(self._state.ids_by_fingerprint))
        return True

    def _select_current_context(
        self, ssl_object: ssl.SSLObject, server_name: str, context: ssl.SSLContext
    ) -> None:
        self.refresh()
        ssl_object.context = self._state.server

    def _load(self) -> _TlsState:
        pems = [
            bounded_file.read(path, MAX_CERTIFICATE_BYTES).decode()
            for path in sorted(self._trust_dir.glob("*.pem"))
        ]
        certificates = [x509.load_pem_x509_certificate(pem.encode()) for pem in pems]
        contexts = [
            _create_context(protocol)
            for protocol in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT)
        ]
        for context in contexts:
            context.load_cert_chain(self._certificate, self._key)
            if pems:
                context.load_verify_locations(cadata="\n".join(pems))
        ids_by_fingerprint = {
            certificate.fingerprint(hashes.SHA256()): _common_name(certificate)
            for certificate in certificates
        }
        return _TlsState(contexts[0], contexts[1], ids_by_fingerprint)

    def _read_file_stats(self) -> _FileStats:
        paths = [self._certificate, self._key, *sorted(self._trust_dir.glob("*.pem"))]
        stats = [(str(path), path.stat()) for path in paths]
        return tuple(
            (path, stat.st_ino, stat.st_size, stat.st_mtime_ns) for path, stat in stats
        )


async def accept(
    tls: InnerTls, writer: asyncio.StreamWriter
) -> result.Result[str, TlsError]:
    """Run the server's handshake on an accepted connection; return the peer's id.

    A refusal is logged once and the connection is closed. (A server started with the
    TLS context would drop the connection without reporting it.)
    """
    address = writer.get_extra_info("peername")
    try:
        await writer.start_tls(
            tls.server_context(), ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S
        )
    except (OSError, EOFError) as error:
        return _refuse(writer, address, f"handshake failed: {error}")
    peer = tls.peer_id(writer.get_extra_info("ssl_object"))
    if peer is None:
        return _refuse(writer, address, "the certificate is not trusted")
    return result.Ok(peer)


def create_identity(instance_id: str, now: float) -> Identity:
    """Generate a private key and a self-signed certificate for an instance."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, instance_id)])
    created_at = datetime.datetime.fromtimestamp(now, datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(created_at - datetime.timedelta(days=CLOCK_SKEW_DAYS))
        .not_valid_after(created_at + datetime.timedelta(days=CERTIFICATE_DAYS))
        .add_extension(x509.BasicConstraints(False, None), critical=True)
        .sign(key, hashes.SHA256())
    )
    key_pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return Identity(key_pem, certificate.public_bytes(serialization.Encoding.PEM))


def write_identity(
    identity: Identity, certificate: pathlib.Path, key: pathlib.Path
) -> None:
    """Write both files; only the file owner may read the key."""
    key.touch(mode=_KEY_MODE)
    key.chmod(_KEY_MODE)
    key.write_bytes(identity.key_pem)
    certificate.write_bytes(identity.certificate_pem)


def _create_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Peers are identified by their pinned certificate, not by host name.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # A session ticket would let a peer resume without verifying its certificate.
        context.num_tickets = 0
    return context


def _common_name(certificate: x509.Certificate) -> str:
    names = certificate.subject.get_attributes_for_oid(oid.NameOID.COMMON_NAME)
    if len(names) != 1:
        raise ValueError("a trusted certificate must have exactly one common name")
    return str(names[0].value)


def _fingerprint(certificate: bytes) -> bytes:
    digest = hashes.Hash(hashes.SHA256())
    digest.update(certificate)
    return digest.finalize()


def _refuse(
    writer: asyncio.StreamWriter, address: typing.Any, reason: str
) -> result.Result[str, TlsError]:
    events.event("link.refused", peer=address, reason=reason)
    writer.close()
    return result.Err(TlsError(reason))
