package settings

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// minSessionKeySize is the output size in bytes of HMAC-SHA-256, which signs the
	// tokens.
	minSessionKeySize = 32
	redacted          = "redacted"
)

// Secret contains bytes that must not appear in logs, dumps or errors.
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

// ReadSessionKeys reads a file with one base64 key of at least 32 bytes per line.
// Empty lines and lines that start with # are skipped. Errors contain line numbers but
// no part of a key.
func ReadSessionKeys(file string) ([]Secret, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the session keys")
	}
	var keys []Secret
	lineNumber := 0
	for line := range strings.Lines(string(source)) {
		lineNumber++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, eris.Errorf("%s:%d: the session key is not valid base64", file, lineNumber)
		}
		if len(key) < minSessionKeySize {
			return nil, eris.Errorf("%s:%d: the session key has %d bytes but needs at least %d",
				file, lineNumber, len(key), minSessionKeySize)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, eris.Errorf("%s contains no session key", file)
	}
	return keys, nil
}
