package wire

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// applicationProtocol is the name and version of the protocol for ALPN in the TLS handshake.
const applicationProtocol = "waxwingreel/1"

// certificateLifetime is longer than any process runs. Peers check the key of the
// certificate, not its date.
const certificateLifetime = 50 * 365 * 24 * time.Hour

// tlsConfig returns a TLS configuration with a key pair derived from the fleet's secret.
// Both sides of a connection must prove that they have that key, so the shared secret
// replaces a certificate authority.
func tlsConfig(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "waxwingreel fleet identity", ed25519.SeedSize)
	if err != nil {
		return nil, eris.Wrap(err, "wire: derive the fleet key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	public := key.Public().(ed25519.PublicKey)
	template := x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "waxwingreel"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, public, key)
	if err != nil {
		return nil, eris.Wrap(err, "wire: create the certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{
			Certificate: [][]byte{der},
			PrivateKey:  key,
		}},
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // VerifyPeerCertificate checks the key instead.
		VerifyPeerCertificate: verifyKey(public),
		NextProtos:            []string{applicationProtocol},
		MinVersion:            tls.VersionTLS13,
	}, nil
}

// statelessResetKey derives the key of the reset tokens of the processes at an address.
func statelessResetKey(secret, address string) (*quic.StatelessResetKey, error) {
	key := quic.StatelessResetKey{}
	raw, err := hkdf.Key(sha256.New, []byte(secret), []byte(address), "waxwingreel stateless reset", len(key))
	if err != nil {
		return nil, eris.Wrap(err, "wire: derive the key of stateless resets")
	}
	copy(key[:], raw)
	return &key, nil
}

// verifyKey returns a check that the peer's certificate has the key want.
func verifyKey(want ed25519.PublicKey) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return eris.New("wire: the peer sent no certificate")
		}
		certificate, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return eris.Wrap(err, "wire: parse the peer's certificate")
		}
		got, ok := certificate.PublicKey.(ed25519.PublicKey)
		if !ok || !want.Equal(got) {
			return eris.New("wire: the peer does not hold this fleet's secret")
		}
		return nil
	}
}
