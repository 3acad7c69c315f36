package declaration

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const (
	// keyPrefix allows secret scanners to recognise a key.
	keyPrefix = "ad_"
	// keyIDBytes and keySecretBytes are lengths before hexadecimal encoding.
	keyIDBytes     = 8
	keySecretBytes = 32
)

// IssuedKey is a new key, including the text that its caller sends.
type IssuedKey struct {
	Key Key
	// Text has the form ad_<id>_<secret>. It is shown once and never stored.
	Text string
}

// NewKey generates a key with the system's random source.
func NewKey() IssuedKey {
	id := randomHex(keyIDBytes)
	secret := randomHex(keySecretBytes)
	return IssuedKey{
		Key: Key{
			ID:   id,
			Hash: HashSecret(secret),
		},
		Text: keyPrefix + id + "_" + secret,
	}
}

// HashSecret returns the SHA-256 of a secret in hexadecimal.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// SplitKey splits a key's text into its id and its secret.
func SplitKey(text string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	return id, secret, ok && id != "" && secret != ""
}

// Matches reports whether a secret belongs to the key, in constant time.
func (k Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(strings.ToLower(k.Hash))) == 1
}

func randomHex(length int) string {
	bytes := make([]byte, length)
	// Read never returns an error; it crashes the process if random data is unavailable.
	_, _ = rand.Read(bytes)
	return hex.EncodeToString(bytes)
}
