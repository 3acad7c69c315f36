package session_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/session"
)

func TestSession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "session")
}

func key(fill byte) []byte { return bytes.Repeat([]byte{fill}, session.MinKeyBytes) }

func newSigner(keys ...[]byte) *session.Signer {
	signer, err := session.NewSigner(session.SignerConfig{Keys: keys})
	Expect(err).NotTo(HaveOccurred())
	return signer
}

func expectCause(err error, cause session.Cause) {
	GinkgoHelper()
	var refused *session.Error
	Expect(errors.As(err, &refused)).To(BeTrue())
	Expect(refused.Cause).To(Equal(cause))
}

var _ = Describe("Signer", func() {
	token := session.Token{Workspace: "a"}.WithPosition("d", logpos.Position{Term: 2, Index: 7}, true)

	It("rejects short keys and an empty list of keys", func() {
		_, err := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(1)[1:]}})
		Expect(err).To(HaveOccurred())
		_, err = session.NewSigner(session.SignerConfig{})
		Expect(err).To(HaveOccurred())
	})

	It("verifies what an older key signed", func() {
		// Guards against rejecting valid tokens after the signing key was replaced.
		text := newSigner(key(1)).SignToken(token)
		verified, err := newSigner(key(2), key(1)).VerifyToken("a", text)
		Expect(err).NotTo(HaveOccurred())
		Expect(verified).To(Equal(token))
	})

	DescribeTable("rejects texts that were not issued as a token for the workspace",
		// Guards against accepting a token of another workspace, a handle or a text that
		// was not signed with a known key.
		func(workspace, text string, cause session.Cause) {
			_, err := newSigner(key(1)).VerifyToken(workspace, text)
			expectCause(err, cause)
		},
		Entry("another workspace", "b", newTokenText(1), session.WrongWorkspace),
		Entry("an unknown key", "a", newTokenText(9), session.InvalidSignature),
		Entry("a handle", "a", newHandleText(), session.InvalidSignature),
		Entry("a changed byte", "a", "A"+newTokenText(1)[1:]+"AAAA", session.InvalidSignature),
		Entry("invalid base64", "a", "%", session.Malformed),
		Entry("empty text", "a", "", session.Malformed),
	)
})

func newTokenText(fill byte) string {
	signer, _ := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(fill)}})
	return signer.SignToken(session.Token{Workspace: "a"})
}

func newHandleText() string {
	signer, _ := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(1)}})
	return signer.SignHandle(session.Handle{Workspace: "a"})
}

// TestMergeLosesNothing guards against a merged token that lets a read miss a position
// that an entry of one of the tokens, or an entry that it has dropped, requires.
func TestMergeLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sessionModel struct {
			token session.Token
			seen  map[string]logpos.Position
		}
		// Histories with more than MaxEntries databases make tokens drop entries.
		numbers := make([]int, session.MaxEntries+8)
		for i := range numbers {
			numbers[i] = i
		}
		var histories [][]int
		for range rapid.IntRange(1, 4).Draw(t, "count") {
			order := rapid.Permutation(numbers).Draw(t, "order")
			histories = append(histories, order[:rapid.IntRange(0, len(order)).Draw(t, "length")])
		}
		index := uint64(0)
		var models []sessionModel
		for _, history := range histories {
			m := sessionModel{
				token: session.Token{Workspace: "a"},
				seen:  map[string]logpos.Position{},
			}
			for _, n := range history {
				index++
				database := fmt.Sprintf("d%d", n)
				m.seen[database] = logpos.Position{Term: 1, Index: index}
				m.token = m.token.WithPosition(database, m.seen[database], true)
			}
			models = append(models, m)
		}
		var tokens []session.Token
		for _, m := range models {
			tokens = append(tokens, m.token)
		}
		merged := session.Merge("a", tokens...)
		if len(merged.Entries) > session.MaxEntries {
			t.Fatalf("%d entries", len(merged.Entries))
		}
		for _, m := range models {
			for database, required := range m.seen {
				position, listed := merged.Position(database)
				if !merged.MustReadPrimary(database) && !(listed && position.Covers(required)) {
					t.Fatalf("%s requires %v, merged token has %v", database, required, position)
				}
			}
		}
	})
}

// TestWithPositionKeepsDroppedEntries guards against the capped position of a read that
// replaces a higher entry that was dropped.
func TestWithPositionKeepsDroppedEntries(t *testing.T) {
	g := NewWithT(t)
	truncated := session.Token{
		Workspace: "a",
		Truncated: true,
	}
	read := truncated.WithPosition("d", logpos.Position{Term: 1, Index: 1}, false)
	g.Expect(read.MustReadPrimary("d")).To(BeTrue())
	written := truncated.WithPosition("d", logpos.Position{Term: 1, Index: 9}, true)
	g.Expect(written.MustReadPrimary("d")).To(BeFalse())
}
