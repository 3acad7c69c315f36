package session_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/session"
)

// FuzzOpen guards against panics and against accepted texts that were not sealed:
// whatever opens must be one of the two texts that the sealer itself made.
func FuzzOpen(f *testing.F) {
	sealer, err := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(1), key(2)}})
	if err != nil {
		f.Fatal(err)
	}
	token := sealer.SignToken(session.Token{Workspace: "a"}.WithPosition("d", logpos.Position{Term: 2, Index: 7}, true))
	handle := sealer.SignHandle(session.Handle{Workspace: "a", VM: "vm-1", Transaction: "t"})
	for _, text := range []string{token, handle, token[:len(token)-1], token + "A", token + "=", token + "\n", "A" + token, "", "%", newText(9)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := sealer.VerifyToken("a", text); err == nil && text != token {
			t.Fatalf("token %q was accepted", text)
		}
		if _, err := sealer.VerifyHandle("a", text); err == nil && text != handle {
			t.Fatalf("handle %q was accepted", text)
		}
	})
}

// FuzzTokenRoundTrip guards against positions or databases that change on the way.
func FuzzTokenRoundTrip(f *testing.F) {
	f.Add("a", "d", uint64(2), uint64(7), false)
	f.Add("route:verify", "", uint64(0), ^uint64(0), true)
	f.Add("\"<é>\u2028", "\x00", ^uint64(0), uint64(1), false)
	f.Fuzz(func(t *testing.T, workspace, database string, term, index uint64, truncated bool) {
		g := NewWithT(t)
		sealer, err := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(1)}})
		g.Expect(err).NotTo(HaveOccurred())
		workspace, database = validText(workspace), validText(database)
		sealed := session.Token{
			Workspace: workspace,
			Truncated: truncated,
		}.WithPosition(database, logpos.Position{Term: term, Index: index}, true)
		opened, err := sealer.VerifyToken(workspace, sealer.SignToken(sealed))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(opened).To(Equal(sealed))
		_, err = sealer.VerifyToken(workspace+"x", sealer.SignToken(sealed))
		expectOtherWorkspace(g, err)
	})
}

// FuzzHandleRoundTrip guards against handles that change on the way.
func FuzzHandleRoundTrip(f *testing.F) {
	f.Add("vm-1", uint64(3), "t", "a", "d", "d-1", "k")
	f.Add("", ^uint64(0), "\"\\", "<&>", "\u2029", "é", "\x7f")
	f.Fuzz(func(t *testing.T, vm string, incarnation uint64, transaction, workspace, database, endpoint, keyID string) {
		g := NewWithT(t)
		sealer, err := session.NewSigner(session.SignerConfig{Keys: [][]byte{key(1)}})
		g.Expect(err).NotTo(HaveOccurred())
		sealed := session.Handle{
			VM:          validText(vm),
			Incarnation: incarnation,
			Transaction: validText(transaction),
			Workspace:   validText(workspace),
			Database:    validText(database),
			Endpoint:    validText(endpoint),
			KeyID:       validText(keyID),
		}
		opened, err := sealer.VerifyHandle(sealed.Workspace, sealer.SignHandle(sealed))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(opened).To(Equal(sealed))
		_, err = sealer.VerifyHandle(sealed.Workspace+"x", sealer.SignHandle(sealed))
		expectOtherWorkspace(g, err)
	})
}

// validText replaces invalid UTF-8, which no declared name contains.
func validText(text string) string { return string([]rune(text)) }

func expectOtherWorkspace(g Gomega, err error) {
	var refused *session.Error
	g.Expect(err).To(BeAssignableToTypeOf(refused))
	g.Expect(err.(*session.Error).Cause).To(Equal(session.OtherWorkspace))
}
