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

// MinKeyBytes is the minimum length of a key: with shorter keys HMAC-SHA256 is weaker
// than its digest size suggests.
const MinKeyBytes = sha256.Size

// Cause is the reason why a token or handle was not accepted.
type Cause int

// The causes.
const (
	// Malformed means that the text is not in the format of this package.
	Malformed Cause = iota + 1
	// InvalidSignature means that the text was not signed with any of the keys.
	InvalidSignature
	// WrongWorkspace means that the text was issued for another workspace.
	WrongWorkspace
)

// Error reports a token or handle that was not accepted. It never contains the
// text.
type Error struct {
	Cause Cause
}

// Error describes the cause.
func (e *Error) Error() string {
	switch e.Cause {
	case Malformed:
		return "malformed"
	case InvalidSignature:
		return "not signed with a known key"
	case WrongWorkspace:
		return "issued for another workspace"
	default:
		return "not accepted"
	}
}

// SignerConfig configures a Signer.
type SignerConfig struct {
	// Keys are HMAC-SHA256 keys. The first one signs and all of them verify, so that
	// keys can be rotated without invalidating tokens.
	Keys [][]byte
}

// Signer signs and verifies tokens and handles. Their contents are authenticated but
// not encrypted. It is safe for concurrent use.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a Signer, or an error if there are no keys or one is too short.
func NewSigner(config SignerConfig) (*Signer, error) {
	if len(config.Keys) == 0 {
		return nil, eris.New("session: no signing key")
	}
	for i, key := range config.Keys {
		if len(key) < MinKeyBytes {
			return nil, eris.Errorf("session: signing key %d has %d bytes, need at least %d", i, len(key), MinKeyBytes)
		}
	}
	return &Signer{keys: config.Keys}, nil
}

// The purposes are part of the signed data, so that a token is never accepted as a
// handle or the other way round.
const (
	purposeHandle = "handle"
	purposeToken  = "token"
)

type signedEntry struct {
	Database string `json:"d"`
	Term     uint64 `json:"t"`
	Index    uint64 `json:"i"`
}

type signedToken struct {
	Workspace string        `json:"w"`
	Entries   []signedEntry `json:"e,omitempty"`
	Truncated bool          `json:"x,omitempty"`
}

// SignToken encodes and signs a token.
func (s *Signer) SignToken(token Token) string {
	payload := signedToken{
		Workspace: token.Workspace,
		Truncated: token.Truncated,
	}
	for _, e := range token.Entries {
		payload.Entries = append(payload.Entries, signedEntry{
			Database: e.Database,
			Term:     e.Position.Term,
			Index:    e.Position.Index,
		})
	}
	return s.sign(purposeToken, payload)
}

// VerifyToken decodes a token after checking its signature and that it was issued for
// the workspace. Its errors are of type *Error.
func (s *Signer) VerifyToken(workspace, text string) (Token, error) {
	var payload signedToken
	if err := s.verify(purposeToken, text, &payload); err != nil {
		return Token{}, err
	}
	if payload.Workspace != workspace {
		return Token{}, &Error{Cause: WrongWorkspace}
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

// VerifyTokens verifies and merges tokens.
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

// SignHandle encodes and signs a transaction handle.
func (s *Signer) SignHandle(handle Handle) string {
	return s.sign(purposeHandle, handle)
}

// VerifyHandle decodes a handle after checking its signature and that it was issued
// for the workspace. Its errors are of type *Error.
func (s *Signer) VerifyHandle(workspace, text string) (Handle, error) {
	var handle Handle
	if err := s.verify(purposeHandle, text, &handle); err != nil {
		return Handle{}, err
	}
	if handle.Workspace != workspace {
		return Handle{}, &Error{Cause: WrongWorkspace}
	}
	return handle, nil
}

func (s *Signer) sign(purpose string, payload any) string {
	body, err := json.Marshal(payload)
	if err != nil {
		// Payloads contain only strings, numbers and booleans, which always marshal.
		panic(fmt.Sprintf("session: payload cannot be marshalled: %v", err))
	}
	signed := append(computeMAC(s.keys[0], purpose, body), body...)
	return base64.RawURLEncoding.EncodeToString(signed)
}

func (s *Signer) verify(purpose, text string, payload any) error {
	signed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	// The decoder ignores line breaks even in strict mode.
	if err != nil || len(signed) < sha256.Size || strings.ContainsAny(text, "\r\n") {
		return &Error{Cause: Malformed}
	}
	mac, body := signed[:sha256.Size], signed[sha256.Size:]
	authentic := false
	for _, key := range s.keys {
		authentic = hmac.Equal(mac, computeMAC(key, purpose, body)) || authentic
	}
	if !authentic {
		return &Error{Cause: InvalidSignature}
	}
	if err := json.Unmarshal(body, payload); err != nil {
		return &Error{Cause: Malformed}
	}
	return nil
}

func computeMAC(key []byte, purpose string, text []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(text)
	return mac.Sum(nil)
}
