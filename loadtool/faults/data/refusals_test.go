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
	// refusedWrites are sent at once in each case.
	refusedWrites = 12
	// refusedTimeout is the deadline of each of them.
	refusedTimeout = 1500 * time.Millisecond
)

// refusedCase is a way to be refused.
type refusedCase struct {
	// fault happens before the writes.
	fault func(ctx context.Context, d *data)
	// change makes the write one that is refused.
	change func(d *data, config *client.Config, statement *client.Statement)
	// reasons that are expected; at least one write has one of them.
	reasons []string
}

// sendRefused sends writes at once through all VMs and keeps their outcomes.
func (d *data) sendRefused(ctx context.Context, c refusedCase) []workload.WriteRecord {
	GinkgoHelper()
	var (
		mu     sync.Mutex
		writes []workload.WriteRecord
		all    sync.WaitGroup
	)
	for i := range refusedWrites {
		id := uuid.NewString()
		config := client.Config{
			BaseURL:    "http://" + d.VMs[i%len(d.VMs)].Caller.String(),
			HTTPClient: d.http,
			Key:        d.keys[d.worker],
		}
		statement := client.Statement{
			Database:  d.database,
			Command:   "insert",
			Arguments: []string{"refused/" + id, id},
			Write:     true,
			RequestID: id,
		}
		c.change(d, &config, &statement)
		all.Go(func() {
			defer GinkgoRecover()
			caller, err := client.New(config)
			Expect(err).NotTo(HaveOccurred())
			limited, cancel := context.WithTimeout(ctx, refusedTimeout)
			defer cancel()
			began := d.timer.Now()
			_, err = caller.Execute(limited, statement)
			w := d.record(id, statement.Arguments, began, err)
			mu.Lock()
			defer mu.Unlock()
			writes = append(writes, w)
		})
	}
	all.Wait()
	return writes
}

func unchanged(*data, *client.Config, *client.Statement) {}

func noFault(context.Context, *data) {}

var _ = Describe("Refusals", Ordered, ContinueOnFailure, func() {
	var d *data

	BeforeAll(func(ctx SpecContext) {
		d = startData(context.WithoutCancel(ctx), 56, dataShape())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a refusal as not run of a write that is in the log (G9).
	DescribeTable("that say not run are true", func(ctx SpecContext, c refusedCase) {
		c.fault(ctx, d)
		writes := d.sendRefused(ctx, c)
		d.restore(ctx)
		refused := 0
		for _, w := range writes {
			if w.Outcome == client.NotRun {
				Expect(c.reasons).To(ContainElement(w.Reason))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0), "writes: %v", writes)
		d.expectClean()
	},
		Entry("unknown key", refusedCase{
			fault: noFault,
			change: func(_ *data, config *client.Config, _ *client.Statement) {
				config.Key += "0"
			},
			reasons: []string{"keyUnknown"},
		}),
		Entry("revoked key", refusedCase{
			fault: func(ctx context.Context, d *data) {
				id := strings.Split(d.keys[d.shape.Workspaces[1].Name], "_")[1]
				_, err := d.RunAmaranthctl(ctx, "key", "revoke", id)
				Expect(err).NotTo(HaveOccurred())
			},
			change: func(d *data, config *client.Config, _ *client.Statement) {
				config.Key = d.keys[d.shape.Workspaces[1].Name]
			},
			reasons: []string{"keyRevoked"},
		}),
		Entry("unknown database", refusedCase{
			fault: noFault,
			change: func(_ *data, _ *client.Config, statement *client.Statement) {
				statement.Database = "other"
			},
			reasons: []string{"notAllowed"},
		}),
		Entry("forged token", refusedCase{
			fault: noFault,
			change: func(_ *data, config *client.Config, _ *client.Statement) {
				config.Session = client.NewSession("forged")
			},
			reasons: []string{"sessionTokenInvalid"},
		}),
		Entry("no command", refusedCase{
			fault: noFault,
			change: func(_ *data, _ *client.Config, statement *client.Statement) {
				statement.Command = ""
			},
			reasons: []string{"invalidRequest"},
		}),
		Entry("a write declared as a read", refusedCase{
			fault: noFault,
			change: func(_ *data, _ *client.Config, statement *client.Statement) {
				statement.Write = false
			},
			reasons: []string{"accessMismatch"},
		}),
		Entry("a statement that fails", refusedCase{
			fault: noFault,
			change: func(_ *data, _ *client.Config, statement *client.Statement) {
				statement.Arguments = []string{"refused/same", statement.RequestID}
			},
			reasons: []string{"statementFailed"},
		}),
		Entry("more than the rate", refusedCase{
			fault: func(ctx context.Context, d *data) {
				_, err := d.RunAmaranthctl(ctx, "workspace", "set", d.worker, "--rate", "5", "--burst", "2")
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(func(ctx SpecContext) {
					_, err := d.RunAmaranthctl(ctx, "workspace", "set", d.worker, "--rate", "5000", "--burst", "5000")
					Expect(err).NotTo(HaveOccurred())
				})
			},
			change:  unchanged,
			reasons: []string{"rateExceeded"},
		}),
		Entry("no replica confirms", refusedCase{
			fault: func(ctx context.Context, d *data) {
				for _, m := range d.replicas() {
					Expect(d.PostToMember(ctx, m, "/replication?state=stopped")).To(Succeed())
				}
				Expect(timer.Sleep(ctx, d.timer, 2*time.Second)).To(Succeed())
			},
			change:  unchanged,
			reasons: []string{"replicationStalled", "noPrimary", "notHome", "notPrimary", "queueTimeout", "deadlineExceeded"},
		}),
		Entry("two members killed", refusedCase{
			fault: func(_ context.Context, d *data) {
				replicas := d.replicas()
				killMember(d, d.primary())
				killMember(d, replicas[0])
			},
			change:  unchanged,
			reasons: []string{"noPrimary", "notHome", "notPrimary", "unreachable", "replicationStalled", "queueTimeout", "deadlineExceeded", "overloaded"},
		}),
	)
})
