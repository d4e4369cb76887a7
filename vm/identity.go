// Package vm implements the sessions between VMs: TLS connections that carry length-prefixed msgpack messages and
// multiplexed, flow-controlled streams.
package vm

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"math/big"
	"time"

	"parsleyhatch/vmwire"
)

// MinFleetKeyBytes is the minimum length of a fleet key, in bytes.
const MinFleetKeyBytes = 16

// Identity identifies one run of a VM.
type Identity struct {
	// Slot is the configured name, which all runs of the VM share.
	Slot string
	// Incarnation is a random number that differs between the runs of a slot.
	Incarnation   uint64
	Region        string
	FailureDomain string
	// StartedAt orders the incarnations of a slot.
	StartedAt time.Time
}

// NewIncarnation returns a random incarnation. Zero is never returned.
func NewIncarnation() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(fmt.Sprintf("read random numbers: %v", err)) // crypto/rand does not fail on supported systems.
	}
	return binary.BigEndian.Uint64(b[:]) | 1
}

// hello returns the message that announces the identity to a peer.
func (id Identity) hello() vmwire.Hello {
	return vmwire.Hello{
		Protocol:           vmwire.Protocol,
		Slot:               id.Slot,
		Incarnation:        id.Incarnation,
		Region:             id.Region,
		FailureDomain:      id.FailureDomain,
		StartedAtUnixMilli: id.StartedAt.UnixMilli(),
	}
}

// identityFromHello returns the identity that a peer announced.
func identityFromHello(h vmwire.Hello) Identity {
	return Identity{
		Slot:          h.Slot,
		Incarnation:   h.Incarnation,
		Region:        h.Region,
		FailureDomain: h.FailureDomain,
		StartedAt:     time.UnixMilli(h.StartedAtUnixMilli),
	}
}

// TLSConfig returns the TLS configuration for both sides of a session. Each side presents a certificate
// whose key pair is derived from the fleet key and accepts no other public key, so that only holders of
// the fleet key can connect.
func TLSConfig(fleetKey []byte) (*tls.Config, error) {
	if len(fleetKey) < MinFleetKeyBytes {
		return nil, fmt.Errorf("fleet key: %d bytes, want at least %d", len(fleetKey), MinFleetKeyBytes)
	}
	seed, err := hkdf.Key(sha256.New, fleetKey, nil, "parsleyhatch vm session", ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive session key: %w", err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	public := private.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("create session certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection pins the public key instead of checking names and authorities.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, public)
		},
	}, nil
}

func verifyPeer(state tls.ConnectionState, public ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	got, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(got, public) != 1 {
		return errors.New("peer does not hold the fleet key")
	}
	return nil
}
