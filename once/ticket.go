// Package once ensures that a call with an idempotency key runs at most once: it decides which VM may run the
// call, and records the outcome.
//
// An idempotency key is either a ticket, which a VM issued and only the same incarnation of that VM runs, or an
// opaque key chosen by the caller, which is owned by one slot of the region by rendezvous hashing.
package once

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	ticketPrefix = "pt1."
	ticketFields = 6
	macBytes     = 16
	nonceBytes   = 12
)

// ErrTicket is returned for a key that is not a valid ticket issued for the workspace by this fleet.
var ErrTicket = errors.New("invalid ticket")

// Ticket is an idempotency key that identifies the only incarnation that may run the call.
type Ticket struct {
	Slot        string
	Incarnation uint64
	// IssuedAt is the time from the start of the incarnation until the ticket was issued, in whole
	// milliseconds. Only the issuing incarnation evaluates it, so VMs need no synchronized clocks.
	IssuedAt time.Duration
}

// Signer issues and verifies tickets of one fleet.
type Signer struct {
	key []byte
}

// NewSigner derives the ticket key from the fleet key.
func NewSigner(fleetKey []byte) (*Signer, error) {
	key, err := hkdf.Key(sha256.New, fleetKey, nil, "parsleyhatch once ticket", sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("derive ticket key: %w", err)
	}
	return &Signer{key: key}, nil
}

// IsTicket reports whether a key has the prefix of a ticket. Such a key is never treated as an opaque key.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// Issue returns a new ticket for the workspace.
func (s *Signer) Issue(t Ticket, workspace string) string {
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		panic(fmt.Sprintf("read random numbers: %v", err)) // crypto/rand does not fail on supported systems.
	}
	return s.issueWithNonce(t, workspace, nonce)
}

// issueWithNonce returns the ticket with the given nonce.
func (s *Signer) issueWithNonce(t Ticket, workspace string, nonce [nonceBytes]byte) string {
	signed := ticketPrefix +
		base64.RawURLEncoding.EncodeToString([]byte(t.Slot)) + "." +
		strconv.FormatUint(t.Incarnation, 16) + "." +
		strconv.FormatInt(t.IssuedAt.Milliseconds(), 10) + "." +
		hex.EncodeToString(nonce[:])
	return signed + "." + s.mac(signed, workspace)
}

// Parse verifies a ticket and returns its fields, or ErrTicket.
func (s *Signer) Parse(key, workspace string) (Ticket, error) {
	parts := strings.Split(key, ".")
	if len(parts) != ticketFields || !IsTicket(key) {
		return Ticket{}, ErrTicket
	}
	signed := key[:strings.LastIndexByte(key, '.')]
	if !hmac.Equal([]byte(s.mac(signed, workspace)), []byte(parts[5])) {
		return Ticket{}, ErrTicket
	}
	return parseFields(parts)
}

// parseFields decodes the fields of a ticket whose signature is valid.
func parseFields(parts []string) (Ticket, error) {
	slot, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return Ticket{}, ErrTicket
	}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Ticket{}, ErrTicket
	}
	issued, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || issued < 0 {
		return Ticket{}, ErrTicket
	}
	return Ticket{Slot: string(slot), Incarnation: incarnation, IssuedAt: time.Duration(issued) * time.Millisecond}, nil
}

// mac returns the signature of the ticket and the workspace. The signed part of the ticket contains no NUL byte,
// so the NUL separator makes the input unambiguous.
func (s *Signer) mac(signed, workspace string) string {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(signed))
	h.Write([]byte{0})
	h.Write([]byte(workspace))
	return hex.EncodeToString(h.Sum(nil)[:macBytes])
}
