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

// node is one running member.
type node struct {
	address string
	client  endpointv1connect.EndpointServiceClient
	stop    func()
}

// start runs a member on a listener until the test ends or stop is called.
func start(config member.Config, listener net.Listener) *node {
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
	return &node{
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

// startGroup runs three members that replicate to each other.
func startGroup(config member.Config) []*node {
	GinkgoHelper()
	listeners := []net.Listener{listen(), listen(), listen()}
	var nodes []*node
	for i, l := range listeners {
		config.Name = fmt.Sprintf("m%d", i)
		config.Peers = map[string]netip.AddrPort{}
		for j, peer := range listeners {
			if i != j {
				config.Peers[fmt.Sprintf("m%d", j)] = netip.MustParseAddrPort(peer.Addr().String())
			}
		}
		nodes = append(nodes, start(config, l))
	}
	return nodes
}

// lead fences and promotes the first node in a term; the others are fenced too.
func lead(ctx context.Context, term uint64, nodes ...*node) {
	GinkgoHelper()
	for _, n := range nodes {
		fenced, err := n.client.Fence(ctx, &endpointv1.FenceRequest{
			Term:     term,
			Claimant: "claimant",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(fenced.GetAccepted()).To(BeTrue())
	}
	promoted, err := nodes[0].client.Promote(ctx, &endpointv1.PromoteRequest{
		Term:     term,
		Claimant: "claimant",
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(promoted.GetAccepted()).To(BeTrue())
}

// session is one open connection to a member.
type session struct {
	stream *connect.BidiStreamForClientSimple[endpointv1.ConnectRequest, endpointv1.ConnectResponse]
	last   uint64
}

func (n *node) connect(ctx context.Context) (*session, *endpointv1.ConnectResponse) {
	GinkgoHelper()
	stream, err := n.client.Connect(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(stream.Send(&endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Hello{Hello: &endpointv1.Hello{Proxy: "test"}},
	})).To(Succeed())
	first, err := stream.Receive()
	Expect(err).NotTo(HaveOccurred())
	return &session{stream: stream}, first
}

func (s *session) close() {
	GinkgoHelper()
	Expect(s.stream.CloseRequest()).To(Succeed())
	Expect(s.stream.CloseResponse()).To(Succeed())
}

func (s *session) send(run *endpointv1.Run) {
	GinkgoHelper()
	s.last++
	run.Id = s.last
	run.Workspace = "flock"
	Expect(s.stream.Send(&endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Run{Run: run},
	})).To(Succeed())
}

// receive returns the next frame.
func (s *session) receive() *endpointv1.ConnectResponse {
	GinkgoHelper()
	response, err := s.stream.Receive()
	Expect(err).NotTo(HaveOccurred())
	return response
}

// run runs one step; it returns the first column of each row, or a reason.
func (s *session) run(run *endpointv1.Run) ([]string, string) {
	GinkgoHelper()
	s.send(run)
	var values []string
	for {
		response := s.receive()
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

// expectRun guards against a wrong result or a failure of a step.
func expectRun(s *session, run *endpointv1.Run, values ...string) {
	GinkgoHelper()
	got, reason := s.run(run)
	Expect(reason).To(BeEmpty())
	Expect(got).To(HaveExactElements(values))
}

// expectFailure guards against a step that runs although it must not.
func expectFailure(s *session, run *endpointv1.Run, reason string) {
	GinkgoHelper()
	_, got := s.run(run)
	Expect(got).To(Equal(reason))
}

// entries returns the log of a node by its hook.
func (n *node) entries() []memberlog.Entry {
	GinkgoHelper()
	var dump struct {
		Entries []memberlog.Entry `json:"entries"`
	}
	n.get("/log", &dump)
	return dump.Entries
}

func (n *node) get(path string, value any) {
	GinkgoHelper()
	response, err := http.Get(n.address + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(response.Body.Close()).To(Succeed()) }()
	Expect(json.NewDecoder(response.Body).Decode(value)).To(Succeed())
}

func (n *node) post(path string) {
	GinkgoHelper()
	response, err := http.Post(n.address+path, "", &bytes.Buffer{})
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
