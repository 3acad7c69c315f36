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

// fakeService responds as its fields specify.
type fakeService struct {
	callerv1connect.UnimplementedCallerServiceHandler
	commit    func() error
	execute   func(*callerv1.ExecuteRequest) (string, error)
	totalRows int64
}

func (e *fakeService) Begin(context.Context, *callerv1.BeginRequest) (*callerv1.BeginResponse, error) {
	return &callerv1.BeginResponse{Transaction: "handle"}, nil
}

func (e *fakeService) Commit(context.Context, *callerv1.CommitRequest) (*callerv1.CommitResponse, error) {
	return &callerv1.CommitResponse{SessionToken: "committed"}, e.commit()
}

func (e *fakeService) Execute(_ context.Context, request *callerv1.ExecuteRequest) (*callerv1.ExecuteResponse, error) {
	token, err := e.execute(request)
	if err != nil {
		return nil, err
	}
	return &callerv1.ExecuteResponse{SessionToken: token}, nil
}

func (e *fakeService) Query(_ context.Context, _ *callerv1.QueryRequest, stream *connect.ServerStream[callerv1.QueryResponse]) error {
	if err := stream.Send(&callerv1.QueryResponse{Rows: []*callerv1.Row{{}, {}}}); err != nil {
		return err
	}
	return stream.Send(&callerv1.QueryResponse{
		Final:     &callerv1.ExecuteResponse{SessionToken: "queried"},
		TotalRows: e.totalRows,
	})
}

func refusalError(outcome callerv1.Outcome) error {
	connectErr := connect.NewError(connect.CodeResourceExhausted, errors.New("refused"))
	detail, err := connect.NewErrorDetail(&callerv1.Refusal{
		Outcome:              outcome,
		Reason:               "rateExceeded",
		Field:                "f",
		RetryAfter:           durationpb.New(time.Second),
		ConfigurationVersion: 3,
	})
	Expect(err).NotTo(HaveOccurred())
	connectErr.AddDetail(detail)
	return connectErr
}

func newClient(e *fakeService) *client.Client {
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
	callErr, ok := client.As(err)
	Expect(ok).To(BeTrue())
	return callErr.Outcome
}

var _ = Describe("Client", func() {
	It("keeps the tokens of both of two concurrent requests", func() {
		// Guards against tokens of concurrent requests that replace each other, so that
		// the position of one request is lost.
		var bothArrived sync.WaitGroup
		bothArrived.Add(2)
		e := &fakeService{execute: func(request *callerv1.ExecuteRequest) (string, error) {
			bothArrived.Done()
			bothArrived.Wait()
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

	It("keeps its tokens when a request fails, and returns the refusal as an Error", func() {
		e := &fakeService{execute: func(*callerv1.ExecuteRequest) (string, error) { return "a", nil }}
		c := newClient(e)
		_, err := c.Execute(context.Background(), client.Statement{})
		Expect(err).NotTo(HaveOccurred())
		e.execute = func(*callerv1.ExecuteRequest) (string, error) {
			return "", refusalError(callerv1.Outcome_OUTCOME_NOT_RUN)
		}
		_, err = c.Execute(context.Background(), client.Statement{RequestID: "id"})
		callErr, ok := client.As(err)
		Expect(ok).To(BeTrue())
		Expect(callErr.Outcome).To(Equal(client.NotRun))
		Expect(callErr.Reason).To(Equal("rateExceeded"))
		Expect(callErr.RetryAfter).To(Equal(time.Second))
		Expect(callErr.RequestID).To(Equal("id"))
		Expect(c.Session().Tokens()).To(Equal([]string{"a"}))
	})

	It("reports an unknown outcome for an error without a refusal", func() {
		c := newClient(&fakeService{execute: func(*callerv1.ExecuteRequest) (string, error) {
			return "", connect.NewError(connect.CodeUnavailable, errors.New("lost"))
		}})
		_, err := c.Execute(context.Background(), client.Statement{Write: true})
		Expect(outcomeOf(err)).To(Equal(client.Unknown))
	})

	It("keeps the outcome of a commit unknown after an attempt with an unknown outcome", func() {
		// Guards against a commit that may have taken effect but is reported as not
		// run, because a later attempt was refused.
		e := &fakeService{commit: func() error { return refusalError(callerv1.Outcome_OUTCOME_NOT_RUN) }}
		transaction, err := newClient(e).Begin(context.Background(), "d")
		Expect(err).NotTo(HaveOccurred())
		Expect(outcomeOf(transaction.Commit(context.Background()))).To(Equal(client.NotRun))
		e.commit = func() error { return refusalError(callerv1.Outcome_OUTCOME_UNKNOWN) }
		Expect(outcomeOf(transaction.Commit(context.Background()))).To(Equal(client.Unknown))
		e.commit = func() error { return refusalError(callerv1.Outcome_OUTCOME_NOT_RUN) }
		Expect(outcomeOf(transaction.Commit(context.Background()))).To(Equal(client.Unknown))
	})

	It("returns an error for a response that lacks rows", func() {
		// Guards against a response with missing rows that is taken for a complete one.
		e := &fakeService{totalRows: 3}
		c := newClient(e)
		ignoreRow := func([]string) error { return nil }
		_, err := c.Query(context.Background(), client.Statement{}, ignoreRow)
		Expect(outcomeOf(err)).To(Equal(client.Unknown))
		Expect(c.Session().Tokens()).To(BeEmpty())
		e.totalRows = 2
		_, err = c.Query(context.Background(), client.Statement{}, ignoreRow)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Session().Tokens()).To(Equal([]string{"queried"}))
	})
})
