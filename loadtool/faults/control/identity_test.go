package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2/hpack"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/loadtool/relay"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

// secretSearch looks for texts in the bytes of connections. It finds a text also
// in a Huffman-coded HTTP/2 header, at every offset in bits.
type secretSearch struct {
	mu       sync.Mutex
	patterns map[string][]byte
	found    map[string]int
	bytes    map[string]int64
}

func newSecretSearch() *secretSearch {
	return &secretSearch{
		patterns: map[string][]byte{},
		found:    map[string]int{},
		bytes:    map[string]int64{},
	}
}

// searchOverlap in bytes is longer than any pattern, so that one in two chunks is
// found.
const searchOverlap = 256

// add adds a text to search for from now on.
func (s *secretSearch) add(secret string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The code of "0" has 5 bits, so 0 to 7 of them give every offset.
	const codeBits, offsets = 5, 8
	s.patterns["plain "+secret] = []byte(secret)
	for n := range offsets {
		coded := hpack.AppendHuffmanString(nil, strings.Repeat("0", n)+secret)
		// The first bytes hold bits of the prefix, the last one padding.
		first := (codeBits*n + offsets - 1) / offsets
		s.patterns[fmt.Sprintf("coded at %d %s", n, secret)] = coded[first : len(coded)-1]
	}
}

// tap searches the connections to one host, under its name.
func (s *secretSearch) tap(host string) relay.Tap {
	return func(netip.Addr, bool) func([]byte) {
		var tail []byte
		return func(data []byte) {
			window := append(tail, data...)
			s.mu.Lock()
			s.bytes[host] += int64(len(data))
			for name, p := range s.patterns {
				if bytes.Contains(window, p) {
					s.found[host+": "+name]++
				}
			}
			s.mu.Unlock()
			tail = bytes.Clone(window[max(0, len(window)-searchOverlap):])
		}
	}
}

func (s *secretSearch) result() (found map[string]int, searched map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found = map[string]int{}
	for name, count := range s.found {
		found[name] = count
	}
	searched = map[string]int64{}
	for host, count := range s.bytes {
		searched[host] = count
	}
	return found, searched
}

// oneConnection returns an HTTP client that uses a single HTTP/2 connection, and
// the number of connections that it opened.
func oneConnection() (*http.Client, *atomic.Int32) {
	dialed := &atomic.Int32{}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{
		Transport: &http.Transport{
			Protocols: protocols,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				dialed.Add(1)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			},
		},
	}, dialed
}

// expectRefused fails unless a request was refused as not run for a reason.
func expectRefused(err error, reason string) {
	GinkgoHelper()
	outcome, got := workload.Classify(err)
	Expect(got).To(Equal(reason), "%v", err)
	Expect(outcome).To(Equal(client.NotRun))
}

var _ = Describe("identity of requests", Ordered, ContinueOnFailure, func() {
	const first, second = "inspectors", "wholesalers"
	var (
		d      *deployment
		search *secretSearch
	)

	BeforeAll(func() {
		search = newSecretSearch()
		d = startControl(100, func(config *harness.Config) {
			config.DisablePeerTLS = true
			config.Tap = search.tap
		}, func(declared *harness.Declaration) {
			withoutLimits(declared)
			// The second workspace is served by two of the three databases.
			declared.Document.Workspaces[1].Databases = []string{"register-1", "register-2"}
			for _, key := range declared.Keys {
				search.add(key[strings.LastIndex(key, "_")+1:])
			}
		})
	})

	dial := func(httpClient *http.Client, v *harness.VM, key string) *client.Client {
		GinkgoHelper()
		c, err := client.New(client.Config{
			BaseURL:    "http://" + v.Caller.String(),
			HTTPClient: httpClient,
			Key:        key,
		})
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("G4: guards against requests of one connection that run for another's workspace", func() {
		const rounds = 60
		var running sync.WaitGroup
		for _, v := range []*harness.VM{d.VMs[0], d.VMs[5]} {
			httpClient, dialed := oneConnection()
			// The connection must be open before requests run side by side.
			Expect(runMarked(dial(httpClient, v, d.declared.Keys[first]), first, "register-1", v.Name+"/open")).To(Succeed())
			for _, workspace := range []string{first, second, ""} {
				c := dial(httpClient, v, d.declared.Keys[workspace])
				for n := range rounds {
					running.Go(func() {
						defer GinkgoRecover()
						database := d.shape.Databases[n%2]
						if workspace == "" {
							database = d.shape.Databases[0]
						}
						Expect(runMarked(c, workspace, database, fmt.Sprintf("%s/%d", v.Name, n))).To(Succeed())
					})
				}
			}
			running.Wait()
			Expect(dialed.Load()).To(BeEquivalentTo(1), "connections of the callers at %s", v.Name)
		}
		expectOwnWorkspaces(d, first, second)
	})

	It("G4: guards against a key that opens another workspace's database", func() {
		for _, v := range d.VMs {
			err := runMarked(d.caller(v, d.declared.Keys[second]), second, "register-3", v.Name+"/forbidden")
			expectRefused(err, "notAllowed")
			_, err = d.caller(v, d.declared.Keys[second]).Begin(context.Background(), "register-3")
			expectRefused(err, "notAllowed")
		}
		expectNothingRan(d, "forbidden")
	})

	DescribeTable("G4: guards against a public route that lets other work through",
		func(key, reason string, change func(*client.Statement)) {
			statement := client.Statement{
				Database:  d.shape.Databases[0],
				Command:   "get",
				Arguments: []string{"marked//forbidden"},
				Route:     harness.PublicRoute,
			}
			change(&statement)
			for _, v := range d.VMs {
				_, err := d.caller(v, d.declared.Keys[key]).Execute(context.Background(), statement)
				expectRefused(err, reason)
			}
			expectNothingRan(d, "forbidden")
		},
		Entry("a write", "", "notAllowed", func(s *client.Statement) {
			s.Command = "put"
			s.Arguments = append(s.Arguments, "x")
			s.Write = true
		}),
		Entry("a write command declared as a read", "", "notAllowed", func(s *client.Statement) {
			s.Command = "put"
			s.Arguments = append(s.Arguments, "x")
		}),
		Entry("a read declared as a write", "", "notAllowed", func(s *client.Statement) { s.Write = true }),
		Entry("another command", "", "notAllowed", func(s *client.Statement) { s.Command = "count" }),
		Entry("another database", "", "notAllowed", func(s *client.Statement) { s.Database = "register-2" }),
		Entry("a key and a route", first, "invalidRequest", func(*client.Statement) {}),
		Entry("no route and no key", "", "keyUnknown", func(s *client.Statement) { s.Route = "" }),
		Entry("an unknown route", "", "invalidRequest", func(s *client.Statement) { s.Route = "other" }),
	)

	It("G5: guards against keys in the bytes to members and to other proxies", func() {
		for _, v := range d.VMs {
			for _, database := range d.shape.Databases {
				Expect(runAll(d.caller(v, d.declared.Keys[first]), database, v.Name+"/"+database)).To(Succeed())
			}
		}
		found, searched := search.result()
		Expect(found).To(BeEmpty(), "places where a secret was seen")
		for _, m := range d.Members {
			Expect(searched).To(HaveKeyWithValue(m.Endpoint, BeNumerically(">", 0)), "bytes that were searched")
		}
		for _, v := range d.VMs {
			Expect(searched).To(HaveKeyWithValue(v.Name, BeNumerically(">", 0)), "bytes that were searched")
		}
	})

	It("G5: finds a key that does pass a relay", func() {
		control := newSecretSearch()
		key := d.declared.Keys[first]
		control.add(key[strings.LastIndex(key, "_")+1:])
		listener, err := net.Listen("tcp", "127.100.200.1:0")
		Expect(err).NotTo(HaveOccurred())
		listen := netip.MustParseAddrPort(listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
		r, err := relay.New(relay.Config{
			Listen:  listen,
			Tap:     control.tap("control"),
			Target:  d.VMs[0].Caller,
			RuleFor: func(netip.Addr) relay.Rule { return relay.Rule{} },
			Timer:   clock,
		})
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		overHTTP2, _ := oneConnection()
		for _, httpClient := range []*http.Client{overHTTP2, d.http} {
			before, _ := control.result()
			c, err := client.New(client.Config{
				BaseURL:    "http://" + listen.String(),
				HTTPClient: httpClient,
				Key:        key,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(runMarked(c, first, "register-1", "control")).To(Succeed())
			after, _ := control.result()
			Expect(len(after)).To(BeNumerically(">", len(before)))
		}
	})
})

// runMarked runs statements whose arguments name the workspace of the key, or
// one without a key on the public route.
func runMarked(c *client.Client, workspace, database, key string) error {
	ctx, cancel := timer.WithTimeout(context.Background(), clock, controlTimeout)
	defer cancel()
	marked := fmt.Sprintf("marked/%s/%s", workspace, key)
	if workspace == "" {
		_, err := c.Execute(ctx, client.Statement{
			Database:  database,
			Command:   "get",
			Arguments: []string{marked},
			Route:     harness.PublicRoute,
		})
		return err
	}
	if _, err := c.Execute(ctx, client.Statement{
		Database:  database,
		Command:   "put",
		Arguments: []string{marked, "x"},
		Write:     true,
	}); err != nil {
		return err
	}
	_, err := c.Execute(ctx, client.Statement{
		Database:  database,
		Command:   "get",
		Arguments: []string{marked},
		MaxAge:    2 * time.Second,
	})
	return err
}

// runAll uses every method of the callers' protocol once.
func runAll(c *client.Client, database, key string) error {
	ctx, cancel := timer.WithTimeout(context.Background(), clock, controlTimeout)
	defer cancel()
	if _, err := c.Query(ctx, client.Statement{
		Database:  database,
		Command:   "scan",
		Arguments: []string{"marked", "10"},
	}, func([]string) error { return nil }); err != nil {
		return err
	}
	for _, commit := range []bool{true, false} {
		transaction, err := c.Begin(ctx, database)
		if err != nil {
			return err
		}
		if _, err := transaction.Execute(ctx, client.Statement{
			Command:   "put",
			Arguments: []string{"all/" + key, "x"},
			Write:     true,
		}); err != nil {
			return err
		}
		end := transaction.Rollback
		if commit {
			end = transaction.Commit
		}
		if err := end(ctx); err != nil {
			return err
		}
		if _, err := c.GetOutcome(ctx, database, transaction.CommitID()); err != nil {
			return err
		}
	}
	return nil
}

// expectOwnWorkspaces fails if a marked statement or entry carries another
// workspace than its key's, or if only some of them were seen.
func expectOwnWorkspaces(d *deployment, workspaces ...string) {
	GinkgoHelper()
	seen := map[string]int{}
	check := func(workspace string, arguments []string, where string) {
		if len(arguments) == 0 || !strings.HasPrefix(arguments[0], "marked/") {
			Expect(workspace).NotTo(BeEmpty(), "%s %v without a workspace", where, arguments)
			return
		}
		expected := strings.Split(arguments[0], "/")[1]
		Expect(workspace).To(Equal(expected), "%s %v", where, arguments)
		seen[where+expected]++
	}
	for _, s := range d.allStatements() {
		check(s.Workspace, s.Arguments, "statement ")
	}
	for _, database := range d.shape.Databases {
		for _, log := range d.logs(database) {
			for _, e := range log.Entries {
				if e.RequestID != "" {
					check(e.Workspace, e.Arguments, "entry ")
				}
			}
		}
	}
	for _, workspace := range workspaces {
		Expect(seen["statement "+workspace]).To(BeNumerically(">=", 240))
		Expect(seen["entry "+workspace]).To(BeNumerically(">=", 120))
	}
	Expect(seen["statement "]).To(BeNumerically(">=", 120), "statements on the public route")
}

// expectNothingRan fails if a member ran a statement that names the text.
func expectNothingRan(d *deployment, text string) {
	GinkgoHelper()
	for _, s := range d.allStatements() {
		Expect(strings.Join(s.Arguments, " ")).NotTo(ContainSubstring(text), "%+v", s)
	}
}
