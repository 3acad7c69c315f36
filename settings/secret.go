package settings

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// minSessionKeySize in bytes is the output size of the token's SHA-256.
	minSessionKeySize = 32
	redacted          = "redacted"
)

// Secret holds bytes that no log, dump or error may show.
type Secret []byte

// Format writes a placeholder for every verb.
func (s Secret) Format(state fmt.State, _ rune) {
	_, _ = state.Write([]byte(redacted))
}

// MarshalLog returns a placeholder.
func (s Secret) MarshalLog() any { return redacted }

// MarshalText returns a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// String returns a placeholder.
func (s Secret) String() string { return redacted }

// ReadSessionKeys reads a file with one base64 key of at least 32 bytes a line.
// Empty lines and lines that start with # are skipped. Errors name lines only.
func ReadSessionKeys(file string) ([]Secret, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the session keys")
	}
	var keys []Secret
	number := 0
	for line := range strings.Lines(string(source)) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, eris.Errorf("%s:%d: the session key is not in base64", file, number)
		}
		if len(key) < minSessionKeySize {
			return nil, eris.Errorf("%s:%d: the session key has %d bytes, at least %d are needed",
				file, number, len(key), minSessionKeySize)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, eris.Errorf("%s holds no session key", file)
	}
	return keys, nil
}
