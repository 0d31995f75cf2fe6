// Package sqkey identifies callers' API keys without storing them: only the
// SHA-256 hash of a key is stored and compared.
package sqkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
)

// MinLength and MaxLength bound the length of a key in bytes.
const (
	MinLength = 16
	MaxLength = 256
)

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// Sum returns the hash of a key.
func Sum(key string) Hash {
	return sha256.Sum256([]byte(key))
}

// WellFormed reports whether key has a valid length and contains only ASCII
// letters, digits and "-", "_", ".", "~", "+", "/", "=".
func WellFormed(key string) bool {
	if len(key) < MinLength || len(key) > MaxLength {
		return false
	}
	for i := range len(key) {
		if !isKeyByte(key[i]) {
			return false
		}
	}
	return true
}

// isKeyByte reports whether a key may contain c.
func isKeyByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	switch c {
	case '-', '_', '.', '~', '+', '/', '=':
		return true
	}
	return false
}

// Grant authorizes the key with the given hash to act for a team.
type Grant struct {
	// ID identifies the key to operators; it is not secret.
	ID   string
	Team string
	Hash Hash
}

// Config configures a Table.
type Config struct {
	Grants []Grant
}

// Table finds grants by hash. It is immutable and therefore safe for concurrent
// use.
type Table struct {
	buckets map[uint64][]Grant
}

// New returns a table of the grants in cfg.
func New(cfg Config) *Table {
	t := &Table{buckets: make(map[uint64][]Grant, len(cfg.Grants))}
	for _, g := range cfg.Grants {
		b := bucketOf(&g.Hash)
		t.buckets[b] = append(t.buckets[b], g)
	}
	return t
}

// Find returns the grant of a hash; false means that there is none. The hash is
// compared in constant time within its bucket. The bucket is selected by the
// first 8 bytes of the SHA-256 hash, which a caller cannot match to those of a
// stored hash without knowing the key.
func (t *Table) Find(h Hash) (Grant, bool) {
	if t == nil {
		return Grant{}, false
	}
	var found Grant
	ok := false
	for _, g := range t.buckets[bucketOf(&h)] {
		if subtle.ConstantTimeCompare(g.Hash[:], h[:]) == 1 {
			found, ok = g, true
		}
	}
	return found, ok
}

// Len returns the number of grants.
func (t *Table) Len() int {
	n := 0
	for _, b := range t.buckets {
		n += len(b)
	}
	return n
}

// bucketOf returns the bucket of a hash, its first 8 bytes.
func bucketOf(h *Hash) uint64 {
	return binary.BigEndian.Uint64(h[:8])
}
