package data_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

const (
	// concurrentWrites is the number of writes that a case sends at the same time.
	concurrentWrites = 12
	// concurrentWriteTimeout is the deadline of each of these writes.
	concurrentWriteTimeout = 1500 * time.Millisecond
)

// refusalCase describes a condition under which writes are refused.
type refusalCase struct {
	// fault is called before the writes are sent.
	fault func(ctx context.Context, d *deployment)
	// modify changes a write so that it is refused.
	modify func(d *deployment, config *client.Config, statement *client.Statement)
	// reasons are the allowed reasons of a refusal; at least one write must be refused.
	reasons []string
}

// sendConcurrentWrites sends writes through all VMs at the same time and stores
// their outcomes.
func (d *deployment) sendConcurrentWrites(ctx context.Context, c refusalCase) []workload.WriteRecord {
	GinkgoHelper()
	var (
		mu     sync.Mutex
		writes []workload.WriteRecord
		wg     sync.WaitGroup
	)
	for i := range concurrentWrites {
		id := uuid.NewString()
		config := client.Config{
			BaseURL:    "http://" + d.VMs[i%len(d.VMs)].Caller.String(),
			HTTPClient: d.httpClient,
			Key:        d.keys[d.workspace],
		}
		statement := client.Statement{
			Database:  d.database,
			Command:   "insert",
			Arguments: []string{"refused/" + id, id},
			Write:     true,
			RequestID: id,
		}
		c.modify(d, &config, &statement)
		wg.Go(func() {
			defer GinkgoRecover()
			caller, err := client.New(config)
			Expect(err).NotTo(HaveOccurred())
			requestCtx, cancel := context.WithTimeout(ctx, concurrentWriteTimeout)
			defer cancel()
			startedAt := d.timer.Now()
			_, err = caller.Execute(requestCtx, statement)
			w := d.recordWrite(id, statement.Arguments, startedAt, err)
			mu.Lock()
			defer mu.Unlock()
			writes = append(writes, w)
		})
	}
	wg.Wait()
	return writes
}

func unchanged(*deployment, *client.Config, *client.Statement) {}

func noFault(context.Context, *deployment) {}

var _ = Describe("Refusals", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 56, singleDatabaseSpec())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a write that is reported as not run but is in the log (G9).
	DescribeTable("reported as not run never take effect", func(ctx SpecContext, c refusalCase) {
		c.fault(ctx, d)
		writes := d.sendConcurrentWrites(ctx, c)
		d.restore(ctx)
		refused := 0
		for _, w := range writes {
			if w.Outcome == client.NotRun {
				Expect(c.reasons).To(ContainElement(w.Reason))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0), "writes: %v", writes)
		d.expectWritesMatchLogs()
	},
		Entry("unknown key", refusalCase{
			fault: noFault,
			modify: func(_ *deployment, config *client.Config, _ *client.Statement) {
				config.Key += "0"
			},
			reasons: []string{"keyUnknown"},
		}),
		Entry("revoked key", refusalCase{
			fault: func(ctx context.Context, d *deployment) {
				id := strings.Split(d.keys[d.spec.Workspaces[1].Name], "_")[1]
				_, err := d.RunAmaranthctl(ctx, "key", "revoke", id)
				Expect(err).NotTo(HaveOccurred())
			},
			modify: func(d *deployment, config *client.Config, _ *client.Statement) {
				config.Key = d.keys[d.spec.Workspaces[1].Name]
			},
			reasons: []string{"keyRevoked"},
		}),
		Entry("unknown database", refusalCase{
			fault: noFault,
			modify: func(_ *deployment, _ *client.Config, statement *client.Statement) {
				statement.Database = "other"
			},
			reasons: []string{"notAllowed"},
		}),
		Entry("forged token", refusalCase{
			fault: noFault,
			modify: func(_ *deployment, config *client.Config, _ *client.Statement) {
				config.Session = client.NewSession("forged")
			},
			reasons: []string{"sessionTokenInvalid"},
		}),
		Entry("no command", refusalCase{
			fault: noFault,
			modify: func(_ *deployment, _ *client.Config, statement *client.Statement) {
				statement.Command = ""
			},
			reasons: []string{"invalidRequest"},
		}),
		Entry("a write declared as a read", refusalCase{
			fault: noFault,
			modify: func(_ *deployment, _ *client.Config, statement *client.Statement) {
				statement.Write = false
			},
			reasons: []string{"accessMismatch"},
		}),
		Entry("a statement that fails", refusalCase{
			fault: noFault,
			modify: func(_ *deployment, _ *client.Config, statement *client.Statement) {
				statement.Arguments = []string{"refused/same", statement.RequestID}
			},
			reasons: []string{"statementFailed"},
		}),
		Entry("rate limit exceeded", refusalCase{
			fault: func(ctx context.Context, d *deployment) {
				_, err := d.RunAmaranthctl(ctx, "workspace", "set", d.workspace, "--rate", "5", "--burst", "2")
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(func(ctx SpecContext) {
					_, err := d.RunAmaranthctl(ctx, "workspace", "set", d.workspace, "--rate", "5000", "--burst", "5000")
					Expect(err).NotTo(HaveOccurred())
				})
			},
			modify:  unchanged,
			reasons: []string{"rateExceeded"},
		}),
		Entry("no replica acknowledges", refusalCase{
			fault: func(ctx context.Context, d *deployment) {
				for _, m := range d.replicas() {
					Expect(d.PostToMember(ctx, m, "/replication?state=stopped")).To(Succeed())
				}
				Expect(timer.Sleep(ctx, d.timer, 2*time.Second)).To(Succeed())
			},
			modify:  unchanged,
			reasons: []string{"replicationStalled", "noPrimary", "notHome", "notPrimary", "queueTimeout", "deadlineExceeded"},
		}),
		Entry("two members killed", refusalCase{
			fault: func(_ context.Context, d *deployment) {
				replicas := d.replicas()
				killMember(d, d.primary())
				killMember(d, replicas[0])
			},
			modify:  unchanged,
			reasons: []string{"noPrimary", "notHome", "notPrimary", "unreachable", "replicationStalled", "queueTimeout", "deadlineExceeded", "overloaded"},
		}),
	)
})
