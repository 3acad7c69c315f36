package declaration_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"amaranthdock.dev/declaration"
)

// FuzzDecode guards against panics on a corrupt value, and against documents that change
// when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	value, err := declaration.Encode(&declaration.Document{StoreRegion: "south"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add([]byte{})
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		g := NewWithT(t)
		document, err := declaration.Decode(value)
		if err != nil {
			return
		}
		encoded, err := declaration.Encode(document)
		g.Expect(err).NotTo(HaveOccurred())
		decodedAgain, err := declaration.Decode(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(declaration.Diff(document, decodedAgain)).To(BeEmpty())
		if declaration.Validate(document) == nil {
			declaration.NewSnapshot(document)
		}
	})
}
