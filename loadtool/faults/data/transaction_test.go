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
	// mixers is the number of transactions at a time in the mixing cases.
	mixers = 8
	// mixedStatements of each transaction.
	mixedStatements = 4
	// mixTime of a mixing case.
	mixTime = 1200 * time.Millisecond
	// commitKills is the number of commits under which the home is killed.
	commitKills = 4
	// commitSpread spreads the kills over the time of a commit.
	commitSpread = 4 * time.Millisecond
)

// homeOf returns the VM that is the home of a member while all VMs are live.
func (d *data) homeOf(m *harness.Member) *harness.VM {
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
	for _, r := range d.shape.Regions {
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
	Fail("the home is no VM")
	return nil
}

// others returns the VMs other than the given ones.
func (d *data) others(not ...*harness.VM) []*harness.VM {
	var others []*harness.VM
next:
	for _, v := range d.VMs {
		for _, n := range not {
			if v == n {
				continue next
			}
		}
		others = append(others, v)
	}
	return others
}

// mover is a client whose requests go to the entry chosen last.
type mover struct {
	*client.Client
	entry atomic.Pointer[harness.VM]
}

// mover returns a client that can change its entry within a transaction.
func (d *data) mover(entry *harness.VM) *mover {
	GinkgoHelper()
	m := &mover{}
	m.entry.Store(entry)
	dialer := &net.Dialer{}
	c, err := client.New(client.Config{
		BaseURL: "http://entry.invalid",
		HTTPClient: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
					return dialer.DialContext(ctx, network, m.entry.Load().Caller.String())
				},
			},
		},
		Key: d.keys[d.worker],
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

// commit commits and keeps the outcome for the check against the logs.
func (d *data) commit(ctx context.Context, t *client.Transaction, keys ...string) client.Outcome {
	ctx, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
	defer cancel()
	began := d.timer.Now()
	return d.record(t.CommitID(), keys, began, t.Commit(ctx)).Outcome
}

// expectLogged checks which keys the log of the final primary holds.
func (d *data) expectLogged(held bool, keys ...string) {
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
		Expect(logged[key]).To(Equal(held), "%s in the members' logs", key)
	}
}

// mix runs transactions one after another until the context ends. Each step goes
// to another entry, and each third transaction is rolled back.
func (d *data) mix(ctx, running context.Context, name string, random *rand.Rand) {
	for number := 0; running.Err() == nil; number++ {
		prefix := fmt.Sprintf("mix/%s/%d/", name, number)
		entry := func() *harness.VM {
			targets := d.targetVMs()
			return targets[random.IntN(len(targets))]
		}
		m := d.mover(entry())
		limited, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
		t, err := m.Begin(limited, d.database)
		var keys []string
		for i := 0; err == nil && i < mixedStatements; i++ {
			m.entry.Store(entry())
			keys = append(keys, prefix+fmt.Sprint(i))
			_, err = t.Execute(limited, insertStatement(keys[i], prefix))
		}
		m.entry.Store(entry())
		switch {
		case t == nil:
		case err != nil || number%3 == 0:
			// A transaction that is gone has been rolled back before.
			_ = t.Rollback(limited)
		default:
			d.commit(ctx, t, keys...)
		}
		cancel()
	}
}

// expectUnmixed checks that each committed transaction of the mixing cases stands
// in the log as one entry with exactly its own statements.
func (d *data) expectUnmixed() {
	GinkgoHelper()
	count := 0
	for _, log := range d.logs() {
		for _, e := range log.Entries {
			if len(e.Writes) == 0 || !strings.HasPrefix(e.Writes[0].Value, "mix/") {
				continue
			}
			count++
			Expect(e.Writes).To(HaveLen(mixedStatements))
			for i, w := range e.Writes {
				Expect(w.Key).To(Equal(e.Writes[0].Value+fmt.Sprint(i)), "statement %d of a committed transaction", i)
			}
		}
	}
	Expect(count).To(BeNumerically(">", 0))
}

var _ = Describe("Transactions", Ordered, ContinueOnFailure, func() {
	var d *data

	BeforeAll(func(ctx SpecContext) {
		d = startData(context.WithoutCancel(ctx), 53, dataShape())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a transaction that outlives its connection, and against a
	// commit that reports more than is known.
	DescribeTable("the home is killed", func(ctx SpecContext, statements int) {
		home := d.homeOf(d.primary())
		entries := d.others(home)
		m := d.mover(entries[0])
		t, err := m.Begin(ctx, d.database)
		Expect(err).NotTo(HaveOccurred())
		var keys []string
		for i := range statements {
			keys = append(keys, fmt.Sprintf("home/%d/%d", statements, i))
			_, err = t.Execute(ctx, insertStatement(keys[i], "lost"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(home.Kill()).To(Succeed())
		m.entry.Store(entries[1])
		late := fmt.Sprintf("home/%d/late", statements)
		_, err = t.Execute(ctx, insertStatement(late, "lost"))
		Expect(err).To(HaveOccurred(), "a statement after the home was gone")
		Expect(d.commit(ctx, t, keys...)).NotTo(Equal(client.Done))
		d.restore(ctx)
		d.expectClean()
		d.expectLogged(false, append(keys, late)...)
		// The member has rolled back: the same keys can be written.
		for _, key := range keys {
			Expect(d.insert(ctx, d.client(d.VMs[0], nil), key).Outcome).To(Equal(client.Done))
		}
	},
		Entry("after begin", 0),
		Entry("after a statement", 1),
		Entry("after several statements", 3),
	)

	// Guards against a commit that took effect and is reported as not run.
	It("reports a commit whose answer is lost as unknown", func(ctx SpecContext) {
		lost := 0
		for i := range commitKills {
			home := d.homeOf(d.primary())
			entry := d.others(home)[i%2]
			m := d.mover(entry)
			t, err := m.Begin(ctx, d.database)
			Expect(err).NotTo(HaveOccurred())
			key := fmt.Sprintf("commit/%d", i)
			_, err = t.Execute(ctx, insertStatement(key, "kept"))
			Expect(err).NotTo(HaveOccurred())
			outcome := make(chan client.Outcome, 1)
			go func() { outcome <- d.commit(ctx, t, key) }()
			d.sleep(ctx, time.Duration(i+1)*commitSpread)
			Expect(home.Kill()).To(Succeed())
			got := <-outcome
			if got != client.Done {
				lost++
				Expect(d.commit(ctx, t, key)).To(Equal(client.Unknown), "a second commit")
			}
			d.restore(ctx)
			d.expectClean()
			resolved, err := d.client(d.VMs[0], nil).GetOutcome(ctx, d.database, t.CommitID())
			GinkgoWriter.Printf("commit %d: %s, later %s\n", i, got, resolved)
			if err == nil && resolved == client.Done || got == client.Done {
				d.expectLogged(true, key)
			} else {
				d.expectLogged(false, key)
			}
		}
		GinkgoWriter.Printf("%d of %d commits lost their answer\n", lost, commitKills)
	})

	// Guards against a transaction that is bound to its entry.
	It("continues through another entry after the entry was killed", func(ctx SpecContext) {
		home := d.homeOf(d.primary())
		entries := d.others(home)
		m := d.mover(entries[0])
		t, err := m.Begin(ctx, d.database)
		Expect(err).NotTo(HaveOccurred())
		_, err = t.Execute(ctx, insertStatement("entry/1", "kept"))
		Expect(err).NotTo(HaveOccurred())
		Expect(entries[0].Kill()).To(Succeed())
		m.entry.Store(entries[1])
		_, err = t.Execute(ctx, insertStatement("entry/2", "kept"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.commit(ctx, t, "entry/1", "entry/2")).To(Equal(client.Done))
		d.restore(ctx)
		d.expectClean()
		d.expectLogged(true, "entry/1", "entry/2")
	})

	// Guards against statements that run on another transaction's connection (G3).
	DescribeTable("statements never mix", func(ctx SpecContext, fault func()) {
		running, cancel := timer.WithTimeout(ctx, d.timer, mixTime)
		defer cancel()
		name := strings.ReplaceAll(CurrentSpecReport().LeafNodeText, " ", "-")
		d.togetherWithFault(ctx, mixTime/3, fault, mixers, func(i int) {
			d.mix(ctx, running, fmt.Sprintf("%s-%d", name, i), rand.New(rand.NewPCG(seed, uint64(i))))
		})
		d.restore(ctx)
		d.expectClean()
		d.expectUnmixed()
	},
		Entry("without a fault", func() {}),
		Entry("the home killed", func() {
			home := d.homeOf(d.primary())
			d.exclude(home, true)
			Expect(home.Kill()).To(Succeed())
		}),
		Entry("the primary killed", func() { killMember(d, d.primary()) }),
		Entry("the primary cut off", func() { isolateMember(d, d.primary()) }),
	)
})
