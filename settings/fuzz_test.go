package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/settings"
)

const fuzzSeed = `vm: vm-1
dataCentre: p
region: r
storeRegion: r
callerListen: 127.0.0.1:1
peerListen: 127.0.0.1:2
operatorListen: "[::1]:3"
observeListen: 127.0.0.1:4
platformAddress: 127.0.0.1:5
seedPeers: [127.0.0.1:6]
sessionKeyFile: keys
operatorTls: {certificateFile: c, keyFile: k, caFile: a}
logLevel: debug
`

// FuzzParse guards against panics on malformed files, and against valid settings that
// change when they are written and read back.
func FuzzParse(f *testing.F) {
	for _, text := range []string{fuzzSeed, "", "- a", "vm: &a [*a]", "vm: !!binary x", "callerTls: null", "callerTls: []", "seedPeers: {a: b}", "<<: {vm: a}", "\x00", "vm: [", "? [vm]\n: b"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		g := NewWithT(t)
		parsed, err := settings.Parse("s.yaml", source)
		if err != nil {
			return
		}
		written, err := yaml.Marshal(parsed)
		g.Expect(err).NotTo(HaveOccurred())
		again, err := settings.Parse("written.yaml", written)
		g.Expect(err).NotTo(HaveOccurred(), string(written))
		g.Expect(again).To(Equal(parsed))
	})
}

// FuzzReadSessionKeys guards against panics on malformed files, and against accepting
// keys that are too short.
func FuzzReadSessionKeys(f *testing.F) {
	for _, text := range []string{"", "# a", "AAAA", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n", "%\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		g := NewWithT(t)
		file := filepath.Join(t.TempDir(), "keys")
		g.Expect(os.WriteFile(file, source, 0o600)).To(Succeed())
		keys, err := settings.ReadSessionKeys(file)
		if err != nil {
			return
		}
		g.Expect(keys).NotTo(BeEmpty())
		for _, key := range keys {
			g.Expect(len(key)).To(BeNumerically(">=", 32))
		}
	})
}
