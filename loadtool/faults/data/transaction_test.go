package data_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

const (
	// concurrentTransactions is the number of transactions that run in parallel.
	concurrentTransactions = 8
	// statementsPerTransaction is the number of statements in each of them.
	statementsPerTransaction = 4
	// mixDuration is how long the concurrent transactions run.
	mixDuration = 1200 * time.Millisecond
	// commitKills is the number of commits during which the home is killed.
	commitKills = 4
	// commitKillStep is how much longer each case waits between the commit and the
	// kill than the one before, so that the kills hit different moments of a commit.
	commitKillStep = 4 * time.Millisecond
)

// homeOf returns the VM that is the home of a member if all VMs are live.
func (d *deployment) homeOf(m *harness.Member) *harness.VM {
	GinkgoHelper()
	var live []routing.VM
	for _, v := range d.VMs {
		live = append(live, routing.VM{
			Name:       v.Name,
			DataCentre: v.DataCentre,
			Region:     v.Region,
		})
	}
	region := ""
	for _, r := range d.spec.Regions {
		for _, dataCentre := range r.DataCentres {
			if dataCentre == m.DataCentre {
				region = r.Name
			}
		}
	}
	home, ok := routing.Home(m.Endpoint, m.DataCentre, region, live)
	Expect(ok).To(BeTrue())
	for _, v := range d.VMs {
		if v.Name == home.Name {
			return v
		}
	}
	Fail("the home is not a VM of the deployment")
	return nil
}

// vmsExcept returns the VMs other than the excluded ones.
func (d *deployment) vmsExcept(excluded ...*harness.VM) []*harness.VM {
	var remaining []*harness.VM
next:
	for _, v := range d.VMs {
		for _, e := range excluded {
			if v == e {
				continue next
			}
		}
		remaining = append(remaining, v)
	}
	return remaining
}

// movingClient is a client that sends each request to the current receivingVM.
type movingClient struct {
	*client.Client
	receivingVM atomic.Pointer[harness.VM]
}

// newMovingClient returns a client whose receiving VM can change within a
// transaction.
func (d *deployment) newMovingClient(receivingVM *harness.VM) *movingClient {
	GinkgoHelper()
	m := &movingClient{}
	m.receivingVM.Store(receivingVM)
	dialer := &net.Dialer{}
	c, err := client.New(client.Config{
		BaseURL: "http://entry.invalid",
		HTTPClient: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
					return dialer.DialContext(ctx, network, m.receivingVM.Load().Caller.String())
				},
			},
		},
		Key: d.keys[d.workspace],
	})
	Expect(err).NotTo(HaveOccurred())
	m.Client = c
	return m
}

func insertStatement(key, value string) client.Statement {
	return client.Statement{
		Command:   "insert",
		Arguments: []string{key, value},
		Write:     true,
	}
}

// commitAndRecord commits a transaction and stores the outcome as recordWrite does.
func (d *deployment) commitAndRecord(ctx context.Context, t *client.Transaction, keys ...string) client.Outcome {
	ctx, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
	defer cancel()
	startedAt := d.timer.Now()
	return d.recordWrite(t.CommitID(), keys, startedAt, t.Commit(ctx)).Outcome
}

// expectLogged checks whether the members' logs contain the keys.
func (d *deployment) expectLogged(expected bool, keys ...string) {
	GinkgoHelper()
	logged := map[string]bool{}
	for _, log := range d.logs() {
		for _, e := range log.Entries {
			for _, w := range e.Writes {
				logged[w.Key] = true
			}
		}
	}
	for _, key := range keys {
		Expect(logged[key]).To(Equal(expected), "%s in the members' logs", key)
	}
}

// runTransactions runs transactions one after another until loadCtx ends. Each step
// goes to a random VM, and every third transaction is rolled back.
func (d *deployment) runTransactions(ctx, loadCtx context.Context, name string, random *rand.Rand) {
	for number := 0; loadCtx.Err() == nil; number++ {
		prefix := fmt.Sprintf("mix/%s/%d/", name, number)
		randomVM := func() *harness.VM {
			targets := d.targetVMs()
			return targets[random.IntN(len(targets))]
		}
		m := d.newMovingClient(randomVM())
		requestCtx, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
		t, err := m.Begin(requestCtx, d.database)
		var keys []string
		for i := 0; err == nil && i < statementsPerTransaction; i++ {
			m.receivingVM.Store(randomVM())
			keys = append(keys, prefix+fmt.Sprint(i))
			_, err = t.Execute(requestCtx, insertStatement(keys[i], prefix))
		}
		m.receivingVM.Store(randomVM())
		switch {
		case t == nil:
		case err != nil || number%3 == 0:
			// The error is ignored: a transaction that no longer exists has already
			// been rolled back.
			_ = t.Rollback(requestCtx)
		default:
			d.commitAndRecord(ctx, t, keys...)
		}
		cancel()
	}
}

// expectSeparateTransactions checks that each transaction that runTransactions
// committed is one log entry with exactly its own statements.
func (d *deployment) expectSeparateTransactions() {
	GinkgoHelper()
	count := 0
	for _, log := range d.logs() {
		for _, e := range log.Entries {
			if len(e.Writes) == 0 || !strings.HasPrefix(e.Writes[0].Value, "mix/") {
				continue
			}
			count++
			Expect(e.Writes).To(HaveLen(statementsPerTransaction))
			for i, w := range e.Writes {
				Expect(w.Key).To(Equal(e.Writes[0].Value+fmt.Sprint(i)), "statement %d of a committed transaction", i)
			}
		}
	}
	Expect(count).To(BeNumerically(">", 0))
}

var _ = Describe("Transactions", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 53, singleDatabaseSpec())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a transaction that survives the loss of its connection, and
	// against a commit that is reported as done although its outcome is unknown.
	DescribeTable("the home is killed", func(ctx SpecContext, statements int) {
		home := d.homeOf(d.primary())
		otherVMs := d.vmsExcept(home)
		m := d.newMovingClient(otherVMs[0])
		t, err := m.Begin(ctx, d.database)
		Expect(err).NotTo(HaveOccurred())
		var keys []string
		for i := range statements {
			keys = append(keys, fmt.Sprintf("home/%d/%d", statements, i))
			_, err = t.Execute(ctx, insertStatement(keys[i], "lost"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(home.Kill()).To(Succeed())
		m.receivingVM.Store(otherVMs[1])
		lateKey := fmt.Sprintf("home/%d/late", statements)
		_, err = t.Execute(ctx, insertStatement(lateKey, "lost"))
		Expect(err).To(HaveOccurred(), "a statement after the home was killed")
		Expect(d.commitAndRecord(ctx, t, keys...)).NotTo(Equal(client.Done))
		d.restore(ctx)
		d.expectWritesMatchLogs()
		d.expectLogged(false, append(keys, lateKey)...)
		// The member has rolled back, so the same keys can be inserted.
		for _, key := range keys {
			Expect(d.insert(ctx, d.client(d.VMs[0], nil), key).Outcome).To(Equal(client.Done))
		}
	},
		Entry("after begin", 0),
		Entry("after a statement", 1),
		Entry("after several statements", 3),
	)

	// Guards against a commit that took effect and is reported as not run.
	It("reports a commit as unknown if its response is lost", func(ctx SpecContext) {
		lostResponses := 0
		for i := range commitKills {
			home := d.homeOf(d.primary())
			receivingVM := d.vmsExcept(home)[i%2]
			m := d.newMovingClient(receivingVM)
			t, err := m.Begin(ctx, d.database)
			Expect(err).NotTo(HaveOccurred())
			key := fmt.Sprintf("commit/%d", i)
			_, err = t.Execute(ctx, insertStatement(key, "kept"))
			Expect(err).NotTo(HaveOccurred())
			outcome := make(chan client.Outcome, 1)
			go func() { outcome <- d.commitAndRecord(ctx, t, key) }()
			d.sleep(ctx, time.Duration(i+1)*commitKillStep)
			Expect(home.Kill()).To(Succeed())
			got := <-outcome
			if got != client.Done {
				lostResponses++
				Expect(d.commitAndRecord(ctx, t, key)).To(Equal(client.Unknown), "a second commit")
			}
			d.restore(ctx)
			d.expectWritesMatchLogs()
			resolved, err := d.client(d.VMs[0], nil).GetOutcome(ctx, d.database, t.CommitID())
			GinkgoWriter.Printf("commit %d: %s, later %s\n", i, got, resolved)
			if err == nil && resolved == client.Done || got == client.Done {
				d.expectLogged(true, key)
			} else {
				d.expectLogged(false, key)
			}
		}
		GinkgoWriter.Printf("%d of %d commits lost their response\n", lostResponses, commitKills)
	})

	// Guards against a transaction that works only through the VM that began it.
	It("continues through another VM after the receiving VM was killed", func(ctx SpecContext) {
		home := d.homeOf(d.primary())
		otherVMs := d.vmsExcept(home)
		m := d.newMovingClient(otherVMs[0])
		t, err := m.Begin(ctx, d.database)
		Expect(err).NotTo(HaveOccurred())
		_, err = t.Execute(ctx, insertStatement("entry/1", "kept"))
		Expect(err).NotTo(HaveOccurred())
		Expect(otherVMs[0].Kill()).To(Succeed())
		m.receivingVM.Store(otherVMs[1])
		_, err = t.Execute(ctx, insertStatement("entry/2", "kept"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.commitAndRecord(ctx, t, "entry/1", "entry/2")).To(Equal(client.Done))
		d.restore(ctx)
		d.expectWritesMatchLogs()
		d.expectLogged(true, "entry/1", "entry/2")
	})

	// Guards against a statement that runs on the connection of another transaction
	// (G3).
	DescribeTable("statements never mix", func(ctx SpecContext, fault func()) {
		loadCtx, cancel := timer.WithTimeout(ctx, d.timer, mixDuration)
		defer cancel()
		name := strings.ReplaceAll(CurrentSpecReport().LeafNodeText, " ", "-")
		d.runConcurrentlyWithFault(ctx, mixDuration/3, fault, concurrentTransactions, func(i int) {
			d.runTransactions(ctx, loadCtx, fmt.Sprintf("%s-%d", name, i), rand.New(rand.NewPCG(seed, uint64(i))))
		})
		d.restore(ctx)
		d.expectWritesMatchLogs()
		d.expectSeparateTransactions()
	},
		Entry("without a fault", func() {}),
		Entry("the home killed", func() {
			home := d.homeOf(d.primary())
			d.exclude(home, true)
			Expect(home.Kill()).To(Succeed())
		}),
		Entry("the primary killed", func() { killMember(d, d.primary()) }),
		Entry("the primary isolated", func() { isolateMember(d, d.primary()) }),
	)
})
