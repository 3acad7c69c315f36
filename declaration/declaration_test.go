package declaration_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/declaration"
)

func TestDeclaration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "declaration")
}

const testFile = "testdata/valid.yaml"

func readValid() string {
	GinkgoHelper()
	source, err := os.ReadFile(testFile)
	Expect(err).NotTo(HaveOccurred())
	return string(source)
}

func parseValid() *declaration.Document {
	GinkgoHelper()
	document, err := declaration.Parse(testFile, []byte(readValid()))
	Expect(err).NotTo(HaveOccurred())
	return document
}

// expectErrors expects an error that reports exactly these errors, one per line, with
// their positions. It guards against a wrong file that is accepted, or that is reported
// without the position of each error.
func expectErrors(source string, messages ...string) {
	GinkgoHelper()
	_, err := declaration.Parse("d.yaml", []byte(source))
	Expect(err).To(HaveOccurred())
	Expect(strings.Split(err.Error(), "\n")).To(HaveLen(len(messages)), err.Error())
	for _, message := range messages {
		Expect(err.Error()).To(ContainSubstring(message))
	}
}

var _ = Describe("Parse", func() {
	DescribeTable("reports the position of each error",
		func(old, replacement string, messages ...string) {
			source := readValid()
			Expect(source).To(ContainSubstring(old))
			expectErrors(strings.Replace(source, old, replacement, 1), messages...)
		},
		Entry("unknown field", "storeRegion:", "storeRegoin:", "d.yaml:1:1: storeRegoin: unknown field"),
		Entry("duplicate field", "storeRegion: south", "storeRegion: south\nstoreRegion: south", "d.yaml:2:1: storeRegion: duplicate field"),
		Entry("wrong type", "rate: 100", "rate: fast", "workspaces[0].rate: must be a number"),
		Entry("string instead of number", "slots: 5", `slots: "5"`, "services[0].databases[0].endpoints[0].slots: must be an integer"),
		Entry("number instead of string", "name: alpha", "name: 5", "workspaces[0].name: must be a string"),
		Entry("fraction instead of integer", "burst: 20", "burst: 20.5", "workspaces[0].burst: must be an integer"),
		Entry("duration without unit", "deadline: 5s", "deadline: 5", "presets[0].deadline: must be a duration with a unit"),
		Entry("wrong unit", "deadline: 5s", "deadline: 5 days", "presets[0].deadline: must be a duration with a unit"),
		Entry("wrong address", "127.0.0.1:7001", "localhost:7001", "services[0].databases[0].endpoints[0].address:"),
		Entry("two errors at once", "rate: 100\n    burst: 20", "rate: fast\n    burst: many", "workspaces[0].rate", "workspaces[0].burst"),
		Entry("duplicate name", "name: beta", "name: alpha", `workspaces[1].name: duplicate workspace "alpha"`, `presets[1].overrides[0].workspace: workspace "beta" is not declared`),
		Entry("empty name", "name: beta", `name: ""`, `workspaces[1].name: must not be empty`, "presets[1].overrides[0].workspace"),
		Entry("data centre in two regions", "dataCentres: [n1]", "dataCentres: [n1, s1]", `regions[1].dataCentres[1]: data centre "s1" is already in region "south"`),
		Entry("unknown data centre", "dataCentre: s2", "dataCentre: s9", `endpoints[1].dataCentre: data centre "s9" is not in any region`),
		Entry("no port", "127.0.0.1:7001", "127.0.0.1:0", "endpoints[0].address: must be"),
		Entry("no slots", "slots: 5", "slots: 0", "endpoints[0].slots: must be at least 1"),
		Entry("no connections", "connections: 30", "connections: 0", "endpoints[0].connections: must be at least 1"),
		Entry("rate 0", "rate: 100", "rate: 0", "workspaces[0].rate: must be greater than 0"),
		Entry("rate not a number", "rate: 100", "rate: .nan", "workspaces[0].rate: must be a number"),
		Entry("small burst", "burst: 20", "burst: 10", "workspaces[0].burst: must be at least 1 + rate x 0.1 s = 11"),
		Entry("small burst under a preset", "rate: 190", "rate: 191", "presets[1].overrides[0].burst: must be at least 1 + rate x 0.1 s = 21"),
		Entry("worth 0", "worth: 3", "worth: 0", "workspaces[0].worth: must be between 1 and"),
		Entry("unknown database", "databases: [main]", "databases: [other]", `workspaces[0].databases[0]: database "other"`),
		Entry("route to an unknown database", "database: main", "database: other", `routes[0].database: database "other"`),
		Entry("route without commands", "commands: [get]", "commands: []", "routes[0].commands: at least one"),
		Entry("unknown preset", "presetInForce: ordinary", "presetInForce: quiet", `presetInForce: preset "quiet"`),
		Entry("short hash", "hash: 0", "hash: ", "workspaces[0].keys[0].hash: must be 64"),
		Entry("anchor", "name: beta", "name: &b beta", "workspaces[1].name: anchors"),
		Entry("bad syntax", "storeRegion: south", "storeRegion: [south", "d.yaml:"),
		Entry("too many endpoints, including a leaving one", "            leaving: true\n", "            leaving: true\n          - {name: main-4, dataCentre: s1, address: 127.0.0.1:7009, slots: 1, connections: 1}\n", "services[0].databases[0].endpoints: must have 3 endpoints"),
	)

	It("parses the result of Format, so that the output of show can be applied", func() {
		document := parseValid()
		formatted, err := declaration.Format(document)
		Expect(err).NotTo(HaveOccurred())
		reparsed, err := declaration.Parse("formatted", formatted)
		Expect(err).NotTo(HaveOccurred(), string(formatted))
		Expect(reparsed).To(Equal(document))
	})
})

var _ = DescribeTable("example declarations are valid and complete",
	func(file string) {
		source, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		document, err := declaration.Parse(file, source)
		Expect(err).NotTo(HaveOccurred())
		snapshot := declaration.NewSnapshot(document)
		Expect(snapshot.Databases()).To(HaveLen(3))
		Expect(document.Workspaces).To(HaveLen(8))
		for _, name := range []string{"ordinary", "peak", "maintenance"} {
			Expect(declaration.UsePreset(document, name)).To(Succeed())
		}
	},
	Entry(nil, "../examples/saltmyri/declaration.yaml"),
	Entry(nil, "../examples/hladnik/declaration.yaml"),
)

var _ = Describe("Encode", func() {
	It("is reversed by Decode", func() {
		document := parseValid()
		value, err := declaration.Encode(document)
		Expect(err).NotTo(HaveOccurred())
		Expect(declaration.Decode(value)).To(Equal(document))
	})

	It("rejects a document that exceeds the store's limit", func() {
		document := parseValid()
		for range 30_000 {
			document.Workspaces[0].Keys = append(document.Workspaces[0].Keys, declaration.NewKey().Key)
		}
		_, err := declaration.Encode(document)
		Expect(err).To(MatchError(declaration.ErrTooLarge))
	})
})

var _ = Describe("edits", func() {
	DescribeTable("are visible in Diff, so that plan shows them",
		func(edit func(*declaration.Document) error, differences ...string) {
			before := parseValid()
			after, err := declaration.Clone(before)
			Expect(err).NotTo(HaveOccurred())
			Expect(edit(after)).To(Succeed())
			Expect(declaration.Validate(after)).To(Succeed())
			var lines []string
			for _, difference := range declaration.Diff(before, after) {
				lines = append(lines, difference.String())
			}
			Expect(lines).To(HaveExactElements(differences))
		},
		Entry("preset", func(d *declaration.Document) error { return declaration.UsePreset(d, "peak") },
			"~ document document: presetInForce ordinary -> peak"),
		Entry("drain", func(d *declaration.Document) error { return declaration.SetLeaving(d, "main-1", true) },
			"~ endpoint main-1: leaving false -> true"),
		Entry("revoke", func(d *declaration.Document) error { return declaration.RevokeKey(d, "k1") },
			"~ key k1: revoked false -> true"),
		Entry("remove a workspace", func(d *declaration.Document) error { return declaration.RemoveWorkspace(d, "beta") },
			"- override peak/beta", "- workspace beta"),
		Entry("change a workspace and keep its keys", func(d *declaration.Document) error {
			changed := d.Workspaces[0]
			changed.Keys = nil
			changed.Worth = 9
			declaration.SetWorkspace(d, changed)
			return nil
		}, "~ workspace alpha: worth 3 -> 9"),
		Entry("apply a file without keys", func(d *declaration.Document) error {
			d.Workspaces[0].Keys = nil
			declaration.CopyMissingKeys(d, parseValid())
			return nil
		}),
	)

	It("return ErrNotFound for unknown names", func() {
		document := parseValid()
		Expect(declaration.AddKey(document, "nobody", declaration.Key{})).To(MatchError(declaration.ErrNotFound))
		Expect(declaration.RevokeKey(document, "nobody")).To(MatchError(declaration.ErrNotFound))
		Expect(declaration.UsePreset(document, "nobody")).To(MatchError(declaration.ErrNotFound))
		Expect(declaration.SetLeaving(document, "nobody", true)).To(MatchError(declaration.ErrNotFound))
		Expect(declaration.RemoveWorkspace(document, "nobody")).To(MatchError(declaration.ErrNotFound))
	})

	It("keep only the latest changes", func() {
		document := parseValid()
		for version := range uint64(declaration.MaxChanges + 2) {
			declaration.AppendChange(document, declaration.Change{
				ID:      strings.Repeat("x", int(version)),
				Version: version,
			})
		}
		Expect(document.Changes).To(HaveLen(declaration.MaxChanges))
		_, found := declaration.FindChange(document, "x")
		Expect(found).To(BeFalse())
	})
})

var _ = Describe("NewKey", func() {
	It("matches only its own secret", func() {
		issued := declaration.NewKey()
		id, secret, ok := declaration.SplitKey(issued.Text)
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(issued.Key.ID))
		Expect(issued.Key.Matches(secret)).To(BeTrue())
		Expect(issued.Key.Matches(secret + "0")).To(BeFalse())
		Expect(issued.Key.Hash).NotTo(ContainSubstring(secret))
	})
})

// FuzzParse guards against panics, and against valid files that change when they are
// formatted and parsed again.
func FuzzParse(f *testing.F) {
	valid, err := os.ReadFile(testFile)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{string(valid), "", "a: [", "workspaces: {}", "regions: [null]", "presets: [{deadline: 5}]", "? x"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		document, err := declaration.Parse("fuzz", source)
		if err != nil {
			return
		}
		formatted, err := declaration.Format(document)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := declaration.Parse("formatted", formatted)
		if err != nil {
			t.Fatalf("%v\n%s", err, formatted)
		}
		if differences := declaration.Diff(document, reparsed); len(differences) > 0 {
			t.Fatal(differences)
		}
	})
}
