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

// MinSecretBytes is the minimum length of the secret that all nodes share.
const MinSecretBytes = 16

// certificateValidity is effectively unlimited: a peer is identified by its key, and VMs' clocks may be wrong.
const certificateValidity = 100 * 365 * 24 * time.Hour

// TLSConfig returns a mutual TLS configuration for all holders of the secret. Every node derives the same key pair
// from the secret and accepts no other key, so that no certificate files and no correct clocks are needed.
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
		// Most exchanges are the first on their connection, so that the handshake makes up most of the traffic: the
		// default hybrid key exchange alone takes 2.3 kB. Session tickets would rarely be used, since a node seldom
		// reconnects to the same peer.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
		Certificates:           []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: private}},
		ClientAuth:             tls.RequireAnyClientCert,
		// VerifyConnection checks the peer's key instead of the usual names and dates.
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
