package client

import (
	"maps"
	"slices"
	"sync"
)

// Session holds the tokens of a session. It is safe for concurrent use, and the
// zero value is a session that has seen nothing.
type Session struct {
	mu     sync.Mutex
	tokens map[string]struct{}
}

// NewSession returns a session that continues with the tokens of another one.
func NewSession(tokens ...string) *Session {
	s := &Session{}
	for _, token := range tokens {
		s.replace(nil, token)
	}
	return s
}

// Tokens returns all tokens that the session holds. A request sends all of them.
func (s *Session) Tokens() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.tokens))
}

// replace puts the token of an answer in the place of those that were sent with
// the request, which it covers. Tokens that came meanwhile stay.
func (s *Session) replace(sent []string, token string) {
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
