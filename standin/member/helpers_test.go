package member_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/standin/member"
	"amaranthdock.dev/standin/memberlog"
	"amaranthdock.dev/timer"
)

const (
	read  = callerv1.Access_ACCESS_READ
	write = callerv1.Access_ACCESS_WRITE
)

// testMember is one running member.
type testMember struct {
	address string
	client  endpointv1connect.EndpointServiceClient
	stop    func()
}

// startMember runs a member on a listener until the test ends or stop is called.
func startMember(config member.Config, listener net.Listener) *testMember {
	GinkgoHelper()
	config.Listener = listener
	config.Timer = timer.NewSystem()
	config.Logger = logr.Discard()
	m, err := member.New(config)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	var stopped bool
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			Eventually(done).Should(Receive(BeNil()))
		}
	}
	DeferCleanup(stop)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	DeferCleanup(client.CloseIdleConnections)
	address := "http://" + listener.Addr().String()
	return &testMember{
		address: address,
		client:  endpointv1connect.NewEndpointServiceClient(client, address),
		stop:    stop,
	}
}

func listen() net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// startMembers runs three members that replicate to each other.
func startMembers(config member.Config) []*testMember {
	GinkgoHelper()
	listeners := []net.Listener{listen(), listen(), listen()}
	var members []*testMember
	for i, l := range listeners {
		config.Name = fmt.Sprintf("m%d", i)
		config.Peers = map[string]netip.AddrPort{}
		for j, peer := range listeners {
			if i != j {
				config.Peers[fmt.Sprintf("m%d", j)] = netip.MustParseAddrPort(peer.Addr().String())
			}
		}
		members = append(members, startMember(config, l))
	}
	return members
}

// promoteFirst fences all members in a term and promotes the first one.
func promoteFirst(ctx context.Context, term uint64, members ...*testMember) {
	GinkgoHelper()
	for _, m := range members {
		fenced, err := m.client.Fence(ctx, &endpointv1.FenceRequest{
			Term:     term,
			Claimant: "claimant",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(fenced.GetAccepted()).To(BeTrue())
	}
	promoted, err := members[0].client.Promote(ctx, &endpointv1.PromoteRequest{
		Term:     term,
		Claimant: "claimant",
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(promoted.GetAccepted()).To(BeTrue())
}

// testConnection is one open connection to a member.
type testConnection struct {
	stream *connect.BidiStreamForClientSimple[endpointv1.ConnectRequest, endpointv1.ConnectResponse]
	lastID uint64
}

func (m *testMember) connect(ctx context.Context) (*testConnection, *endpointv1.ConnectResponse) {
	GinkgoHelper()
	stream, err := m.client.Connect(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(stream.Send(&endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Hello{Hello: &endpointv1.Hello{Proxy: "test"}},
	})).To(Succeed())
	first, err := stream.Receive()
	Expect(err).NotTo(HaveOccurred())
	return &testConnection{stream: stream}, first
}

func (c *testConnection) close() {
	GinkgoHelper()
	Expect(c.stream.CloseRequest()).To(Succeed())
	Expect(c.stream.CloseResponse()).To(Succeed())
}

func (c *testConnection) send(run *endpointv1.Run) {
	GinkgoHelper()
	c.lastID++
	run.Id = c.lastID
	run.Workspace = "flock"
	Expect(c.stream.Send(&endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Run{Run: run},
	})).To(Succeed())
}

// receive returns the next frame.
func (c *testConnection) receive() *endpointv1.ConnectResponse {
	GinkgoHelper()
	response, err := c.stream.Receive()
	Expect(err).NotTo(HaveOccurred())
	return response
}

// run runs one step. It returns the first column of each row, or the reason of a
// failure.
func (c *testConnection) run(run *endpointv1.Run) ([]string, string) {
	GinkgoHelper()
	c.send(run)
	var values []string
	for {
		response := c.receive()
		if f := response.GetFailure(); f != nil {
			Expect(f.GetNotRun()).To(BeTrue())
			return nil, f.GetReason()
		}
		for _, r := range response.GetPiece().GetRows() {
			values = append(values, r.GetColumns()[0])
		}
		if response.GetPiece().GetLast() {
			return values, ""
		}
	}
}

func statement(access callerv1.Access, command string, arguments ...string) *endpointv1.Run {
	return &endpointv1.Run{
		Verb:   endpointv1.Verb_VERB_EXECUTE,
		Access: access,
		Statement: &callerv1.Statement{
			Command:   command,
			Arguments: arguments,
		},
	}
}

func withID(run *endpointv1.Run, id string) *endpointv1.Run {
	run.RequestId = id
	return run
}

func verb(v endpointv1.Verb) *endpointv1.Run {
	return &endpointv1.Run{Verb: v}
}

// expectRun runs a step and checks that it succeeds with the given values. It guards
// against a step that fails or that returns a wrong result.
func expectRun(c *testConnection, run *endpointv1.Run, values ...string) {
	GinkgoHelper()
	got, reason := c.run(run)
	Expect(reason).To(BeEmpty())
	Expect(got).To(HaveExactElements(values))
}

// expectFailure runs a step and checks that it fails for the given reason. It guards
// against a step that runs although it must not.
func expectFailure(c *testConnection, run *endpointv1.Run, reason string) {
	GinkgoHelper()
	_, got := c.run(run)
	Expect(got).To(Equal(reason))
}

// entries returns the log of a member, read from its test hook.
func (m *testMember) entries() []memberlog.Entry {
	GinkgoHelper()
	var dump struct {
		Entries []memberlog.Entry `json:"entries"`
	}
	m.getJSON("/log", &dump)
	return dump.Entries
}

func (m *testMember) getJSON(path string, value any) {
	GinkgoHelper()
	response, err := http.Get(m.address + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(response.Body.Close()).To(Succeed()) }()
	Expect(json.NewDecoder(response.Body).Decode(value)).To(Succeed())
}

func (m *testMember) post(path string) {
	GinkgoHelper()
	response, err := http.Post(m.address+path, "", &bytes.Buffer{})
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
