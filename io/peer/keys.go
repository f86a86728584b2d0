package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"time"
)

// MinSecretBytes is the least length of the secret that nodes share.
const MinSecretBytes = 16

// certificateValidity is of no weight: a peer is known by its key, and VMs' clocks may be wrong.
const certificateValidity = 100 * 365 * 24 * time.Hour

// TLSConfig returns a configuration with which only holders of the secret can talk to each other. All
// nodes derive one key pair from the secret and accept no other, so that no file and no clock is needed.
func TLSConfig(secret string) (*tls.Config, error) {
	if len(secret) < MinSecretBytes {
		return nil, fmt.Errorf("peer: the secret needs at least %d bytes", MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "rhubarbspread peer key", ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	public := private.Public().(ed25519.PublicKey)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(certificateValidity)}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Most exchanges are the first on their connection, and most of their bytes are the handshake's: the
		// default hybrid key exchange alone takes 2.3 kB, and a ticket is of no use to who seldom comes back.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
		Certificates:           []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: private}},
		ClientAuth:             tls.RequireAnyClientCert,
		// The usual check is of names and dates; the one below, of the key, takes its place.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return checkKey(s, public) },
	}, nil
}

func checkKey(s tls.ConnectionState, want ed25519.PublicKey) error {
	if len(s.PeerCertificates) != 1 {
		return fmt.Errorf("peer: %d certificates", len(s.PeerCertificates))
	}
	got, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(got, want) != 1 {
		return fmt.Errorf("peer: the other side does not hold the secret")
	}
	return nil
}
