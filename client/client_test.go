package client_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/caller/v1/callerv1connect"
	"amaranthdock.dev/client"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client")
}

// entry answers as a test says.
type entry struct {
	callerv1connect.UnimplementedCallerServiceHandler
	commit  func() error
	execute func(*callerv1.ExecuteRequest) (string, error)
	rows    int64
}

func (e *entry) Begin(context.Context, *callerv1.BeginRequest) (*callerv1.BeginResponse, error) {
	return &callerv1.BeginResponse{Transaction: "handle"}, nil
}

func (e *entry) Commit(context.Context, *callerv1.CommitRequest) (*callerv1.CommitResponse, error) {
	return &callerv1.CommitResponse{SessionToken: "committed"}, e.commit()
}

func (e *entry) Execute(_ context.Context, request *callerv1.ExecuteRequest) (*callerv1.ExecuteResponse, error) {
	token, err := e.execute(request)
	if err != nil {
		return nil, err
	}
	return &callerv1.ExecuteResponse{SessionToken: token}, nil
}

func (e *entry) Query(_ context.Context, _ *callerv1.QueryRequest, stream *connect.ServerStream[callerv1.QueryResponse]) error {
	if err := stream.Send(&callerv1.QueryResponse{Rows: []*callerv1.Row{{}, {}}}); err != nil {
		return err
	}
	return stream.Send(&callerv1.QueryResponse{
		Final:     &callerv1.ExecuteResponse{SessionToken: "queried"},
		TotalRows: e.rows,
	})
}

func refused(outcome callerv1.Outcome) error {
	failed := connect.NewError(connect.CodeResourceExhausted, errors.New("refused"))
	detail, err := connect.NewErrorDetail(&callerv1.Refusal{
		Outcome:              outcome,
		Reason:               "rateExceeded",
		Field:                "f",
		RetryAfter:           durationpb.New(time.Second),
		ConfigurationVersion: 3,
	})
	Expect(err).NotTo(HaveOccurred())
	failed.AddDetail(detail)
	return failed
}

func newClient(e *entry) *client.Client {
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(e))
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	c, err := client.New(client.Config{
		BaseURL:    server.URL,
		HTTPClient: server.Client(),
		Key:        "k",
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

func outcomeOf(err error) client.Outcome {
	GinkgoHelper()
	failed, ok := client.As(err)
	Expect(ok).To(BeTrue())
	return failed.Outcome
}

var _ = Describe("Client", func() {
	It("guards against tokens of concurrent requests that replace each other", func() {
		var together sync.WaitGroup
		together.Add(2)
		e := &entry{execute: func(request *callerv1.ExecuteRequest) (string, error) {
			together.Done()
			together.Wait()
			return request.GetStatement().GetCommand(), nil
		}}
		c := newClient(e)
		var requests sync.WaitGroup
		for _, command := range []string{"a", "b"} {
			requests.Go(func() {
				defer GinkgoRecover()
				_, err := c.Execute(context.Background(), client.Statement{Command: command})
				Expect(err).NotTo(HaveOccurred())
			})
		}
		requests.Wait()
		Expect(c.Session().Tokens()).To(Equal([]string{"a", "b"}))
		e.execute = func(request *callerv1.ExecuteRequest) (string, error) {
			Expect(slices.Sorted(slices.Values(request.GetSessionTokens()))).To(Equal([]string{"a", "b"}))
			return "c", nil
		}
		_, err := c.Execute(context.Background(), client.Statement{Command: "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Session().Tokens()).To(Equal([]string{"c"}))
	})

	It("keeps its tokens when a request fails, and types the refusal", func() {
		e := &entry{execute: func(*callerv1.ExecuteRequest) (string, error) { return "a", nil }}
		c := newClient(e)
		_, err := c.Execute(context.Background(), client.Statement{})
		Expect(err).NotTo(HaveOccurred())
		e.execute = func(*callerv1.ExecuteRequest) (string, error) { return "", refused(callerv1.Outcome_OUTCOME_NOT_RUN) }
		_, err = c.Execute(context.Background(), client.Statement{RequestID: "id"})
		failed, ok := client.As(err)
		Expect(ok).To(BeTrue())
		Expect(failed.Outcome).To(Equal(client.NotRun))
		Expect(failed.Reason).To(Equal("rateExceeded"))
		Expect(failed.RetryAfter).To(Equal(time.Second))
		Expect(failed.RequestID).To(Equal("id"))
		Expect(c.Session().Tokens()).To(Equal([]string{"a"}))
	})

	It("takes an error without a refusal for unknown", func() {
		c := newClient(&entry{execute: func(*callerv1.ExecuteRequest) (string, error) {
			return "", connect.NewError(connect.CodeUnavailable, errors.New("lost"))
		}})
		_, err := c.Execute(context.Background(), client.Statement{Write: true})
		Expect(outcomeOf(err)).To(Equal(client.Unknown))
	})

	It("leaves a commit unknown after a try that was unknown", func() {
		e := &entry{commit: func() error { return refused(callerv1.Outcome_OUTCOME_NOT_RUN) }}
		transaction, err := newClient(e).Begin(context.Background(), "d")
		Expect(err).NotTo(HaveOccurred())
		Expect(outcomeOf(transaction.Commit(context.Background()))).To(Equal(client.NotRun))
		e.commit = func() error { return refused(callerv1.Outcome_OUTCOME_UNKNOWN) }
		Expect(outcomeOf(transaction.Commit(context.Background()))).To(Equal(client.Unknown))
		e.commit = func() error { return refused(callerv1.Outcome_OUTCOME_NOT_RUN) }
		Expect(outcomeOf(transaction.Commit(context.Background()))).To(Equal(client.Unknown))
	})

	It("guards against an answer that lacks rows", func() {
		e := &entry{rows: 3}
		c := newClient(e)
		each := func([]string) error { return nil }
		_, err := c.Query(context.Background(), client.Statement{}, each)
		Expect(outcomeOf(err)).To(Equal(client.Unknown))
		Expect(c.Session().Tokens()).To(BeEmpty())
		e.rows = 2
		_, err = c.Query(context.Background(), client.Statement{}, each)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Session().Tokens()).To(Equal([]string{"queried"}))
	})
})
