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

// secretScanner searches the bytes of connections for secrets. It also finds a
// secret in a Huffman-coded HTTP/2 header, at any bit offset.
type secretScanner struct {
	mu           sync.Mutex
	patterns     map[string][]byte
	found        map[string]int
	scannedBytes map[string]int64
}

func newSecretScanner() *secretScanner {
	return &secretScanner{
		patterns:     map[string][]byte{},
		found:        map[string]int{},
		scannedBytes: map[string]int64{},
	}
}

// scanOverlap is the number of bytes of the previous chunk that are scanned again. It
// is longer than any pattern, so that one that spans two chunks is found.
const scanOverlap = 256

// addSecret adds a secret to search for in the data that follows.
func (s *secretScanner) addSecret(secret string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The code of "0" has 5 bits, so a prefix of 0 to 7 of them gives every bit offset.
	const codeBits, offsets = 5, 8
	s.patterns["plain "+secret] = []byte(secret)
	for n := range offsets {
		coded := hpack.AppendHuffmanString(nil, strings.Repeat("0", n)+secret)
		// Skips the bytes that hold bits of the prefix, and the last one, which is padded.
		firstByte := (codeBits*n + offsets - 1) / offsets
		s.patterns[fmt.Sprintf("coded at %d %s", n, secret)] = coded[firstByte : len(coded)-1]
	}
}

// tap returns a relay tap that searches the connections to a host and records
// results under its name.
func (s *secretScanner) tap(host string) relay.Tap {
	return func(netip.Addr, bool) func([]byte) {
		var tail []byte
		return func(data []byte) {
			window := append(tail, data...)
			s.mu.Lock()
			s.scannedBytes[host] += int64(len(data))
			for name, p := range s.patterns {
				if bytes.Contains(window, p) {
					s.found[host+": "+name]++
				}
			}
			s.mu.Unlock()
			tail = bytes.Clone(window[max(0, len(window)-scanOverlap):])
		}
	}
}

// results returns the number of matches by host and pattern, and the number of bytes
// searched by host.
func (s *secretScanner) results() (found map[string]int, scanned map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found = map[string]int{}
	for name, count := range s.found {
		found[name] = count
	}
	scanned = map[string]int64{}
	for host, count := range s.scannedBytes {
		scanned[host] = count
	}
	return found, scanned
}

// newSingleConnectionClient returns an HTTP client that uses a single HTTP/2
// connection, and a counter of the connections that it opened.
func newSingleConnectionClient() (*http.Client, *atomic.Int32) {
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

// expectRefused fails unless a request was refused as not run with the reason.
func expectRefused(err error, reason string) {
	GinkgoHelper()
	outcome, got := workload.Classify(err)
	Expect(got).To(Equal(reason), "%v", err)
	Expect(outcome).To(Equal(client.NotRun))
}

var _ = Describe("identity of requests", Ordered, ContinueOnFailure, func() {
	const firstWorkspace, secondWorkspace = "inspectors", "wholesalers"
	var (
		d       *deployment
		scanner *secretScanner
	)

	BeforeAll(func() {
		scanner = newSecretScanner()
		d = startDeployment(100, func(config *harness.Config) {
			config.DisablePeerTLS = true
			config.Tap = scanner.tap
		}, func(declared *harness.Declaration) {
			withoutLimits(declared)
			// The second workspace may use two of the three databases.
			declared.Document.Workspaces[1].Databases = []string{"register-1", "register-2"}
			for _, key := range declared.Keys {
				scanner.addSecret(key[strings.LastIndex(key, "_")+1:])
			}
		})
	})

	newClientWith := func(httpClient *http.Client, v *harness.VM, key string) *client.Client {
		GinkgoHelper()
		c, err := client.New(client.Config{
			BaseURL:    "http://" + v.Caller.String(),
			HTTPClient: httpClient,
			Key:        key,
		})
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("G4: requests on a shared connection run for the workspace of their own key", func() {
		// Guards against a request that runs for the workspace of another request on
		// the same connection.
		const rounds = 60
		var wg sync.WaitGroup
		for _, v := range []*harness.VM{d.VMs[0], d.VMs[5]} {
			httpClient, dialed := newSingleConnectionClient()
			// The connection must be open before concurrent requests share it.
			Expect(runMarkedStatements(newClientWith(httpClient, v, d.declared.Keys[firstWorkspace]), firstWorkspace, "register-1", v.Name+"/open")).To(Succeed())
			for _, workspace := range []string{firstWorkspace, secondWorkspace, ""} {
				c := newClientWith(httpClient, v, d.declared.Keys[workspace])
				for n := range rounds {
					wg.Go(func() {
						defer GinkgoRecover()
						database := d.spec.Databases[n%2]
						if workspace == "" {
							database = d.spec.Databases[0]
						}
						Expect(runMarkedStatements(c, workspace, database, fmt.Sprintf("%s/%d", v.Name, n))).To(Succeed())
					})
				}
			}
			wg.Wait()
			Expect(dialed.Load()).To(BeEquivalentTo(1), "connections opened to %s", v.Name)
		}
		expectMatchingWorkspaces(d, firstWorkspace, secondWorkspace)
	})

	It("G4: a key gives no access to a database that its workspace may not use", func() {
		// Guards against a key that opens another workspace's database, with a
		// statement or with a transaction.
		for _, v := range d.VMs {
			err := runMarkedStatements(d.newClient(v, d.declared.Keys[secondWorkspace]), secondWorkspace, "register-3", v.Name+"/forbidden")
			expectRefused(err, "notAllowed")
			_, err = d.newClient(v, d.declared.Keys[secondWorkspace]).Begin(context.Background(), "register-3")
			expectRefused(err, "notAllowed")
		}
		expectNotExecuted(d, "forbidden")
	})

	DescribeTable("G4: the public route accepts only the requests that it is declared for",
		// Guards against a public route that lets other requests through, for example a
		// write that is declared as a read.
		func(key, reason string, change func(*client.Statement)) {
			statement := client.Statement{
				Database:  d.spec.Databases[0],
				Command:   "get",
				Arguments: []string{"marked//forbidden"},
				Route:     harness.PublicRoute,
			}
			change(&statement)
			for _, v := range d.VMs {
				_, err := d.newClient(v, d.declared.Keys[key]).Execute(context.Background(), statement)
				expectRefused(err, reason)
			}
			expectNotExecuted(d, "forbidden")
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
		Entry("a key and a route", firstWorkspace, "invalidRequest", func(*client.Statement) {}),
		Entry("no route and no key", "", "keyUnknown", func(s *client.Statement) { s.Route = "" }),
		Entry("an unknown route", "", "invalidRequest", func(s *client.Statement) { s.Route = "other" }),
	)

	It("G5: no key is sent to members or to other proxies", func() {
		// Guards against a key in the bytes that a proxy sends to a member or to
		// another proxy, in plain text or in a compressed header.
		for _, v := range d.VMs {
			for _, database := range d.spec.Databases {
				Expect(callAllMethods(d.newClient(v, d.declared.Keys[firstWorkspace]), database, v.Name+"/"+database)).To(Succeed())
			}
		}
		found, scanned := scanner.results()
		Expect(found).To(BeEmpty(), "connections on which a secret was sent")
		for _, m := range d.Members {
			Expect(scanned).To(HaveKeyWithValue(m.Endpoint, BeNumerically(">", 0)), "bytes that were searched")
		}
		for _, v := range d.VMs {
			Expect(scanned).To(HaveKeyWithValue(v.Name, BeNumerically(">", 0)), "bytes that were searched")
		}
	})

	It("G5: the scanner finds a key that is sent through a relay", func() {
		// Guards against a scanner that never finds a key, with which the spec above
		// would always pass.
		positiveControl := newSecretScanner()
		key := d.declared.Keys[firstWorkspace]
		positiveControl.addSecret(key[strings.LastIndex(key, "_")+1:])
		listener, err := net.Listen("tcp", "127.100.200.1:0")
		Expect(err).NotTo(HaveOccurred())
		listen := netip.MustParseAddrPort(listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
		r, err := relay.New(relay.Config{
			Listen:  listen,
			Tap:     positiveControl.tap("control"),
			Target:  d.VMs[0].Caller,
			RuleFor: func(netip.Addr) relay.Rule { return relay.Rule{} },
			Timer:   clock,
		})
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		overHTTP2, _ := newSingleConnectionClient()
		for _, httpClient := range []*http.Client{overHTTP2, d.httpClient} {
			before, _ := positiveControl.results()
			c, err := client.New(client.Config{
				BaseURL:    "http://" + listen.String(),
				HTTPClient: httpClient,
				Key:        key,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(runMarkedStatements(c, firstWorkspace, "register-1", "control")).To(Succeed())
			after, _ := positiveControl.results()
			Expect(len(after)).To(BeNumerically(">", len(before)))
		}
	})
})

// runMarkedStatements runs statements whose database key names the workspace of the
// client. Without a workspace, it runs one statement on the public route.
func runMarkedStatements(c *client.Client, workspace, database, key string) error {
	ctx, cancel := timer.WithTimeout(context.Background(), clock, requestTimeout)
	defer cancel()
	markedKey := fmt.Sprintf("marked/%s/%s", workspace, key)
	if workspace == "" {
		_, err := c.Execute(ctx, client.Statement{
			Database:  database,
			Command:   "get",
			Arguments: []string{markedKey},
			Route:     harness.PublicRoute,
		})
		return err
	}
	if _, err := c.Execute(ctx, client.Statement{
		Database:  database,
		Command:   "put",
		Arguments: []string{markedKey, "x"},
		Write:     true,
	}); err != nil {
		return err
	}
	_, err := c.Execute(ctx, client.Statement{
		Database:  database,
		Command:   "get",
		Arguments: []string{markedKey},
		MaxAge:    2 * time.Second,
	})
	return err
}

// callAllMethods calls every method of the callers' protocol.
func callAllMethods(c *client.Client, database, key string) error {
	ctx, cancel := timer.WithTimeout(context.Background(), clock, requestTimeout)
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

// expectMatchingWorkspaces fails if a marked statement or log entry carries a
// workspace other than that of its client, or if some of them are missing.
func expectMatchingWorkspaces(d *deployment, workspaces ...string) {
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
	for _, s := range d.allExecutedStatements() {
		check(s.Workspace, s.Arguments, "statement ")
	}
	for _, database := range d.spec.Databases {
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

// expectNotExecuted fails if a member executed a statement whose arguments contain
// the text.
func expectNotExecuted(d *deployment, text string) {
	GinkgoHelper()
	for _, s := range d.allExecutedStatements() {
		Expect(strings.Join(s.Arguments, " ")).NotTo(ContainSubstring(text), "%+v", s)
	}
}
