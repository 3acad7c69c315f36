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

func newSealer(keys ...[]byte) *session.Signer {
	sealer, err := session.NewSigner(session.SignerConfig{Keys: keys})
	Expect(err).NotTo(HaveOccurred())
	return sealer
}

func expectCause(err error, cause session.Cause) {
	GinkgoHelper()
	var refused *session.Error
	Expect(errors.As(err, &refused)).To(BeTrue())
	Expect(refused.Cause).To(Equal(cause))
}

var _ = Describe("Sealer", func() {
	token := session.Token{Workspace: "a"}.WithPosition("d", logpos.Position{Term: 2, Index: 7}, true)

	It("refuses short keys and no keys", func() {
		_, err := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(1)[1:]}})
		Expect(err).To(HaveOccurred())
		_, err = session.NewSigner(session.SignerConfig{})
		Expect(err).To(HaveOccurred())
	})

	It("opens what an older key sealed", func() {
		text := newSealer(key(1)).SignToken(token)
		opened, err := newSealer(key(2), key(1)).VerifyToken("a", text)
		Expect(err).NotTo(HaveOccurred())
		Expect(opened).To(Equal(token))
	})

	DescribeTable("guards against texts that are not the workspace's own",
		func(workspace, text string, cause session.Cause) {
			_, err := newSealer(key(1)).VerifyToken(workspace, text)
			expectCause(err, cause)
		},
		Entry("another workspace", "b", newText(1), session.OtherWorkspace),
		Entry("an unknown key", "a", newText(9), session.NotAuthentic),
		Entry("a handle", "a", newHandle(), session.NotAuthentic),
		Entry("a changed byte", "a", "A"+newText(1)[1:]+"AAAA", session.NotAuthentic),
		Entry("other characters", "a", "%", session.Malformed),
		Entry("nothing", "a", "", session.Malformed),
	)
})

func newText(fill byte) string {
	sealer, _ := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(fill)}})
	return sealer.SignToken(session.Token{Workspace: "a"})
}

func newHandle() string {
	sealer, _ := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(1)}})
	return sealer.SignHandle(session.Handle{Workspace: "a"})
}

// TestMergeLosesNothing guards against a merged token that lets a read miss a
// position which one of the tokens, or an entry that it dropped, requires.
func TestMergeLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type model struct {
			token session.Token
			seen  map[string]logpos.Position
		}
		// Long histories of different databases make tokens drop entries.
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
		var models []model
		for _, history := range histories {
			m := model{
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

// TestAdvanceKeepsDroppedEntries guards against the capped position of a read
// that takes the place of a higher entry which was dropped.
func TestAdvanceKeepsDroppedEntries(t *testing.T) {
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
