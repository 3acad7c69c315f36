package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/logpos"
)

// MinKeyBytes is the shortest key that a Sealer takes: HMAC-SHA256 is as strong
// as its digest only with keys of that length.
const MinKeyBytes = sha256.Size

// Cause tells why a token or handle was not accepted.
type Cause int

// The causes.
const (
	// Malformed text is not in the format of this package.
	Malformed Cause = iota + 1
	// NotAuthentic text was not sealed with any of the keys.
	NotAuthentic
	// OtherWorkspace text was sealed for another workspace.
	OtherWorkspace
)

// Error reports a token or handle that was not accepted. It never holds the text.
type Error struct {
	Cause Cause
}

// Error returns the cause in words.
func (e *Error) Error() string {
	switch e.Cause {
	case Malformed:
		return "malformed"
	case NotAuthentic:
		return "not sealed with a known key"
	case OtherWorkspace:
		return "sealed for another workspace"
	default:
		return "not accepted"
	}
}

// SignerConfig configures a Sealer.
type SignerConfig struct {
	// Keys for HMAC-SHA256: the first one seals, all of them open, so that keys
	// can be exchanged without a break.
	Keys [][]byte
}

// Signer seals and opens tokens and handles. It is safe for concurrent use.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a Sealer, or an error if there is no key or a short one.
func NewSigner(config SignerConfig) (*Signer, error) {
	if len(config.Keys) == 0 {
		return nil, eris.New("session: no sealing key")
	}
	for i, key := range config.Keys {
		if len(key) < MinKeyBytes {
			return nil, eris.Errorf("session: key %d has %d bytes, need %d", i, len(key), MinKeyBytes)
		}
	}
	return &Signer{keys: config.Keys}, nil
}

// The purposes are part of the authenticated text, so that a token can never be
// used as a handle.
const (
	purposeHandle = "handle"
	purposeToken  = "token"
)

type sealedEntry struct {
	Database string `json:"d"`
	Term     uint64 `json:"t"`
	Index    uint64 `json:"i"`
}

type sealedToken struct {
	Workspace string        `json:"w"`
	Entries   []sealedEntry `json:"e,omitempty"`
	Truncated bool          `json:"x,omitempty"`
}

// SignToken returns the text of a token.
func (s *Signer) SignToken(token Token) string {
	payload := sealedToken{
		Workspace: token.Workspace,
		Truncated: token.Truncated,
	}
	for _, e := range token.Entries {
		payload.Entries = append(payload.Entries, sealedEntry{
			Database: e.Database,
			Term:     e.Position.Term,
			Index:    e.Position.Index,
		})
	}
	return s.seal(purposeToken, payload)
}

// VerifyToken checks the text of a token and that it belongs to the workspace. Its
// errors are of type *Error.
func (s *Signer) VerifyToken(workspace, text string) (Token, error) {
	var payload sealedToken
	if err := s.open(purposeToken, text, &payload); err != nil {
		return Token{}, err
	}
	if payload.Workspace != workspace {
		return Token{}, &Error{Cause: OtherWorkspace}
	}
	if len(payload.Entries) > MaxEntries {
		return Token{}, &Error{Cause: Malformed}
	}
	token := Token{
		Workspace: workspace,
		Truncated: payload.Truncated,
	}
	for _, e := range payload.Entries {
		token.Entries = append(token.Entries, Entry{
			Database: e.Database,
			Position: logpos.Position{
				Term:  e.Term,
				Index: e.Index,
			},
		})
	}
	return token, nil
}

// VerifyTokens opens all texts and merges them.
func (s *Signer) VerifyTokens(workspace string, texts []string) (Token, error) {
	tokens := make([]Token, 0, len(texts))
	for _, text := range texts {
		token, err := s.VerifyToken(workspace, text)
		if err != nil {
			return Token{}, err
		}
		tokens = append(tokens, token)
	}
	return Merge(workspace, tokens...), nil
}

// SignHandle returns the text of a transaction handle.
func (s *Signer) SignHandle(handle Handle) string {
	return s.seal(purposeHandle, handle)
}

// VerifyHandle checks the text of a handle and that it belongs to the workspace.
// Its errors are of type *Error.
func (s *Signer) VerifyHandle(workspace, text string) (Handle, error) {
	var handle Handle
	if err := s.open(purposeHandle, text, &handle); err != nil {
		return Handle{}, err
	}
	if handle.Workspace != workspace {
		return Handle{}, &Error{Cause: OtherWorkspace}
	}
	return handle, nil
}

func (s *Signer) seal(purpose string, payload any) string {
	text, err := json.Marshal(payload)
	if err != nil {
		// The payloads hold strings, numbers and flags only.
		panic(fmt.Sprintf("session: payload cannot be marshalled: %v", err))
	}
	sealed := append(digest(s.keys[0], purpose, text), text...)
	return base64.RawURLEncoding.EncodeToString(sealed)
}

func (s *Signer) open(purpose, text string, payload any) error {
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	// The decoder skips line breaks even in strict mode.
	if err != nil || len(sealed) < sha256.Size || strings.ContainsAny(text, "\r\n") {
		return &Error{Cause: Malformed}
	}
	sum, body := sealed[:sha256.Size], sealed[sha256.Size:]
	authentic := false
	for _, key := range s.keys {
		authentic = hmac.Equal(sum, digest(key, purpose, body)) || authentic
	}
	if !authentic {
		return &Error{Cause: NotAuthentic}
	}
	if err := json.Unmarshal(body, payload); err != nil {
		return &Error{Cause: Malformed}
	}
	return nil
}

func digest(key []byte, purpose string, text []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(text)
	return mac.Sum(nil)
}
