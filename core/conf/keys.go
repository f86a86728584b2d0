package conf

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Keyring maps API keys to teams, by digest.
type Keyring struct{ teams map[[sha256.Size]byte]*Team }

// NewKeyring indexes the key digests of a document's teams.
func NewKeyring(d *Document) *Keyring {
	k := &Keyring{teams: make(map[[sha256.Size]byte]*Team)}
	for _, t := range d.teams {
		for _, digest := range t.digests {
			k.teams[[sha256.Size]byte(digest)] = t
		}
	}
	return k
}

// Team returns the team of a key, or nil. An attacker can't choose the digest by which the map is searched, so its
// timing reveals nothing about a key; the final comparison takes constant time.
func (k *Keyring) Team(key string) *Team {
	sum := sha256.Sum256([]byte(key))
	t := k.teams[sum]
	if t == nil {
		return nil
	}
	for _, digest := range t.digests {
		if subtle.ConstantTimeCompare(digest, sum[:]) == 1 {
			return t
		}
	}
	return nil
}
