"""Create certificates: an authority, and the instances and operators that it signs."""

import datetime
import ipaddress

import msgspec
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

# Tolerates instances whose clocks are behind that of the machine that creates the keys.
_CLOCK_SKEW = datetime.timedelta(minutes=5)


class KeyPair(msgspec.Struct, frozen=True):
    """Hold a private key and the certificate of its public half."""

    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate

    def certificate_pem(self) -> bytes:
        """Return the certificate as PEM."""
        return self.certificate.public_bytes(serialization.Encoding.PEM)

    def key_pem(self) -> bytes:
        """Return the private key as unencrypted PEM."""
        return self.key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )


def make_authority(days: int) -> KeyPair:
    """Create a self-signed authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    # The serial number in the name distinguishes two authorities in a chain.
    serial = x509.random_serial_number()
    name = _make_name(f"bendwind authority {serial:x}"[:40])
    builder = _create_builder(name, name, key, days)
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    builder = builder.add_extension(_make_usage(is_authority=True), critical=True)
    return KeyPair(key, builder.sign(key, hashes.SHA256()))


def make_instance(authority: KeyPair, name: str, hosts: tuple[str, ...], days: int) -> KeyPair:
    """Create an instance's key; the certificate names the instance and its addresses."""
    alternatives = [
        x509.UniformResourceIdentifier(f"bendwind://instance/{name}"),
        x509.DNSName(name),
        *(_make_host(host) for host in hosts),
    ]
    usages = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    return _make_signed_pair(authority, name, alternatives, usages, days)


def make_operator(authority: KeyPair, name: str, days: int) -> KeyPair:
    """Create an operator's key; the certificate is valid for a client only."""
    alternatives = [x509.UniformResourceIdentifier(f"bendwind://operator/{name}")]
    return _make_signed_pair(authority, name, alternatives, [ExtendedKeyUsageOID.CLIENT_AUTH], days)


def read_pair(certificate: bytes, key: bytes) -> KeyPair:
    """Read a key and its certificate from PEM.

    Errors: ValueError or TypeError for data that is not a key and a certificate.
    """
    private = serialization.load_pem_private_key(key, password=None)
    if not isinstance(private, ec.EllipticCurvePrivateKey):
        raise ValueError("expected an elliptic-curve key")
    return KeyPair(private, x509.load_pem_x509_certificate(certificate))


def _make_signed_pair(
    authority: KeyPair,
    name: str,
    alternatives: list[x509.GeneralName],
    usages: list[x509.ObjectIdentifier],
    days: int,
) -> KeyPair:
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _create_builder(_make_name(name), authority.certificate.subject, key, days)
    extensions = [
        (x509.BasicConstraints(ca=False, path_length=None), True),
        (_make_usage(is_authority=False), True),
        (x509.ExtendedKeyUsage(usages), False),
        (x509.SubjectAlternativeName(alternatives), False),
        (
            x509.AuthorityKeyIdentifier.from_issuer_public_key(authority.key.public_key()),
            False,
        ),
    ]
    for extension, is_critical in extensions:
        builder = builder.add_extension(extension, critical=is_critical)
    return KeyPair(key, builder.sign(authority.key, hashes.SHA256()))


def _create_builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, days: int
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder(
        issuer_name=issuer,
        subject_name=subject,
        public_key=key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=now - _CLOCK_SKEW,
        not_valid_after=now + datetime.timedelta(days=days),
    )
    identifier = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
    return builder.add_extension(identifier, critical=False)


def _make_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _make_host(host: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(host))
    except ValueError:
        return x509.DNSName(host)


def _make_usage(is_authority: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not is_authority,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=is_authority,
        crl_sign=is_authority,
        encipher_only=False,
        decipher_only=False,
    )
