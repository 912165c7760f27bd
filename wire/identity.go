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

	"github.com/rotisserie/eris"
)

// applicationProtocol names the protocol and its version in the TLS handshake.
const applicationProtocol = "waxwingreel/1"

// certificateLifetime exceeds any process's life; the key, not the date, is what
// peers check.
const certificateLifetime = 50 * 365 * 24 * time.Hour

// tlsConfig derives one key pair from the fleet's secret. Both sides of a
// connection must show that they hold it, so one secret in the settings takes the
// place of a certificate authority.
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
		return nil, eris.Wrap(err, "wire: make the certificate")
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
