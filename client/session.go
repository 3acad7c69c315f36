package client

import (
	"maps"
	"slices"
	"sync"
)

// Session holds the consistency tokens of a session. It is safe for concurrent
// use, and the zero value is a new session without tokens.
type Session struct {
	mu     sync.Mutex
	tokens map[string]struct{}
}

// NewSession returns a session that starts with the given tokens of another
// session.
func NewSession(tokens ...string) *Session {
	s := &Session{}
	for _, token := range tokens {
		s.replaceTokens(nil, token)
	}
	return s
}

// Tokens returns all tokens of the session, sorted. Each request sends all of
// them.
func (s *Session) Tokens() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.tokens))
}

// replaceTokens stores the token of a response and removes the tokens that were
// sent with the request, because the new token covers them. Tokens of responses
// that arrived in the meantime are kept.
func (s *Session) replaceTokens(sent []string, token string) {
	if token == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, old := range sent {
		delete(s.tokens, old)
	}
	if s.tokens == nil {
		s.tokens = map[string]struct{}{}
	}
	s.tokens[token] = struct{}{}
}
