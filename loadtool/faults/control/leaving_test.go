package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

const (
	// drainBound after it, an endpoint that is leaving gets no new work.
	drainBound = 4 * time.Second
	// quietTime is how long such an endpoint is watched.
	quietTime = 2 * time.Second
)

// sessions are running caller sessions and the record of what they saw.
type sessions struct {
	stop    func()
	journal *workload.Recorder
}

// startSessions runs sessions of every kind of work on all databases.
func (d *deployment) startSessions(name string, b *balancer) *sessions {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sessions{
		journal: workload.NewRecorder(),
	}
	var running sync.WaitGroup
	for i, w := range d.shape.Workspaces {
		for n := range 3 {
			number := 3*i + n
			session := workload.NewSession(workload.SessionConfig{
				Name:      fmt.Sprintf("%s-%d", name, number),
				Workspace: w.Name,
				Worth:     w.Worth,
				Key:       d.declared.Keys[w.Name],
				Database:  d.shape.Databases[n],
				Targets:   b.addresses,
				Mix: workload.Mix{
					Writes:       40,
					Transactions: 10,
					MaxAgeReads:  25,
				},
				Pause:      50 * time.Millisecond,
				Timeout:    controlTimeout,
				MaxAge:     2 * time.Second,
				Seed:       controlSeed + uint64(number),
				HTTPClient: d.http,
				Timer:      clock,
				Recorder:   s.journal,
			})
			running.Go(func() { session.Run(ctx) })
		}
	}
	s.stop = func() {
		cancel()
		running.Wait()
	}
	// A spec that fails leaves no load to the next one.
	DeferCleanup(s.stop)
	return s
}

// expectSound fails if a record was lost, doubled or misreported.
func (d *deployment) expectSound(journal *workload.Recorder) {
	GinkgoHelper()
	// The members replicate what is still under way.
	pause(500 * time.Millisecond)
	Expect(journal.WriteTable(GinkgoWriter, nil)).To(Succeed())
	for _, database := range d.shape.Databases {
		verdict, err := workload.Verify(journal.Writes(), database, d.logs(database))
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Acknowledged).To(BeNumerically(">", 50), database)
		Expect(verdict.Passed()).To(BeTrue(), "%s: %+v", database, verdict)
	}
	Expect(journal.StaleReads()).To(BeEmpty())
}

// expectNoFailure fails if any request of the sessions was not done.
func expectNoFailure(journal *workload.Recorder) {
	GinkgoHelper()
	for _, kind := range []workload.Kind{workload.KindRead, workload.KindMaxAgeRead, workload.KindWrite, workload.KindTransaction} {
		Expect(journal.Count(kind, client.Done)).To(BeNumerically(">", 0), kind)
		Expect(journal.Count(kind, client.NotRun)).To(BeZero(), "%s refused as not run", kind)
		Expect(journal.Count(kind, client.Unknown)).To(BeZero(), "%s cut", kind)
	}
}

// homeOf returns the VM that is the home of a member.
func (d *deployment) homeOf(m *harness.Member) *harness.VM {
	GinkgoHelper()
	var status struct {
		Databases []struct {
			Members []struct {
				Endpoint string `json:"endpoint"`
				Home     string `json:"home"`
			} `json:"members"`
		} `json:"databases"`
	}
	Expect(json.Unmarshal([]byte(d.mustControl("--output", "json", "status")), &status)).To(Succeed())
	for _, database := range status.Databases {
		for _, member := range database.Members {
			for _, v := range d.VMs {
				if member.Endpoint == m.Endpoint && member.Home == v.Name {
					return v
				}
			}
		}
	}
	Fail("no home of " + m.Endpoint)
	return nil
}

var _ = Describe("leaving", Ordered, ContinueOnFailure, func() {
	const database = "register-1"
	var (
		d *deployment
		b *balancer
	)

	BeforeAll(func() {
		d = startControl(104, func(config *harness.Config) {
			config.Spec.Slots = 20
		}, func(declared *harness.Declaration) {
			// The last workspace keeps its limit, which is measured at the end.
			last := len(declared.Document.Workspaces) - 1
			kept := declared.Document.Workspaces[last]
			withoutLimits(declared)
			declared.Document.Workspaces[last].Rate = 200
			declared.Document.Workspaces[last].Burst = 200
			Expect(declared.Document.Workspaces[last].Name).To(Equal(kept.Name))
		})
		b = d.startBalancer()
		DeferCleanup(b.stop)
	})

	DescribeTable("G11: guards against new work at an endpoint that is drained",
		func(ofPrimary bool) {
			s := d.startSessions(fmt.Sprintf("drain-%t", ofPrimary), b)
			pause(time.Second)
			primary := d.primary(database)
			chosen := primary
			for _, m := range d.MembersOf(database) {
				if !ofPrimary && m != primary {
					chosen = m
				}
			}
			busy := len(d.statements(chosen))
			Expect(busy).To(BeNumerically(">", 0), "%s had no work before", chosen.Endpoint)
			began := clock.Now()
			d.mustControl("endpoint", "drain", chosen.Endpoint)
			pause(began.Add(drainBound).Sub(clock.Now()))
			before := d.statements(chosen)
			pause(quietTime)
			after := d.statements(chosen)
			s.stop()
			Expect(after[len(before):]).To(BeEmpty(), "new work at %s", chosen.Endpoint)
			leader := d.primary(database)
			Expect(leader == primary).To(Equal(!ofPrimary), "the primary is %s, it was %s", leader.Endpoint, primary.Endpoint)
			Expect(leader).NotTo(Equal(chosen))
			GinkgoWriter.Printf("longest write gap %s\n", workload.LongestWriteGap(s.journal.Writes(), database))
			d.expectSound(s.journal)
			for _, kind := range []workload.Kind{workload.KindRead, workload.KindMaxAgeRead, workload.KindWrite} {
				Expect(s.journal.Count(kind, client.Unknown)).To(BeZero(), "%s cut by the drain", kind)
			}
			d.mustControl("endpoint", "undrain", chosen.Endpoint)
			pause(time.Second)
		},
		Entry("of a replica", false),
		Entry("of the primary", true),
	)

	DescribeTable("G12: guards against requests that a graceful shutdown cuts",
		func(ofHome bool) {
			leaving := d.VMs[1]
			if ofHome {
				leaving = d.homeOf(d.primary(database))
			}
			other := d.VMs[0]
			if other == leaving {
				other = d.VMs[2]
			}
			s := d.startSessions(fmt.Sprintf("shutdown-%t", ofHome), b)
			pause(time.Second)
			open := []*shutdownWork{
				d.beginWork(leaving, other, database, "through the VM, then another"),
				d.beginWork(leaving, leaving, "register-2", "through the VM"),
				d.beginWork(other, other, database, "through another"),
			}
			pause(300 * time.Millisecond)
			began := clock.Now()
			Expect(leaving.Terminate()).To(Succeed())
			pause(500 * time.Millisecond)
			for _, w := range open {
				w.finish()
			}
			for _, w := range open {
				w.expectStream()
			}
			Eventually(leaving.Done(), 45*time.Second).Should(BeClosed())
			GinkgoWriter.Printf("%s ended after %s\n", leaving.Name, clock.Now().Sub(began))
			Expect(leaving.ExitCode()).To(BeZero())
			pause(time.Second)
			s.stop()
			d.expectSound(s.journal)
			for _, w := range s.journal.Writes() {
				if w.Outcome != client.Done {
					GinkgoWriter.Printf("%s, sent %s after the signal, took %s: %s\n",
						w.Database, w.StartedAt.Sub(began), w.EndedAt.Sub(w.StartedAt), w.Reason)
				}
			}
			expectNoFailure(s.journal)
			d.expectFullRate(b)
			Expect(leaving.Start()).To(Succeed())
			Expect(d.WaitReady(context.Background(), leaving)).To(Succeed())
			pause(time.Second)
		},
		Entry("of any VM", false),
		Entry("of the home of a primary", true),
	)
})

// shutdownWork is a transaction and a stream that are open when a VM is told to
// shut down.
type shutdownWork struct {
	name        string
	transaction *client.Transaction
	// target is where new connections of the caller lead.
	target *atomic.Value
	then   *harness.VM
	stream chan error
}

// callerThroughBalancer returns a client each of whose requests is a connection to
// the VM that target holds.
func (d *deployment) callerThroughBalancer(target *atomic.Value, key string) *client.Client {
	GinkgoHelper()
	c, err := client.New(client.Config{
		BaseURL: "http://balancer.invalid",
		HTTPClient: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, network, target.Load().(string))
				},
			},
		},
		Key: key,
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// beginWork opens a transaction through one VM; it goes on through another one.
func (d *deployment) beginWork(through, then *harness.VM, database, name string) *shutdownWork {
	GinkgoHelper()
	workspace := d.shape.Workspaces[0].Name
	ctx, cancel := timer.WithTimeout(context.Background(), clock, 30*time.Second)
	DeferCleanup(cancel)
	target := &atomic.Value{}
	target.Store(through.Caller.String())
	c := d.callerThroughBalancer(target, d.declared.Keys[workspace])
	transaction, err := c.Begin(ctx, database)
	Expect(err).NotTo(HaveOccurred(), name)
	_, err = transaction.Execute(ctx, client.Statement{
		Command:   "put",
		Arguments: []string{"shutdown/" + name, "begun"},
		Write:     true,
	})
	Expect(err).NotTo(HaveOccurred(), name)
	w := &shutdownWork{
		name:        name,
		transaction: transaction,
		target:      target,
		then:        then,
		stream:      make(chan error, 1),
	}
	go func() {
		_, err := c.Query(ctx, client.Statement{
			Database:  database,
			Command:   "sleep",
			Arguments: []string{"3s"},
		}, func([]string) error { return nil })
		w.stream <- err
	}()
	return w
}

// finish runs a statement of the transaction and commits it.
func (w *shutdownWork) finish() {
	GinkgoHelper()
	ctx, cancel := timer.WithTimeout(context.Background(), clock, controlTimeout)
	defer cancel()
	w.target.Store(w.then.Caller.String())
	_, err := w.transaction.Execute(ctx, client.Statement{
		Command:   "put",
		Arguments: []string{"shutdown/" + w.name, "finished"},
		Write:     true,
	})
	Expect(err).NotTo(HaveOccurred(), "a statement of the transaction %s", w.name)
	Expect(w.transaction.Commit(ctx)).To(Succeed(), "the transaction %s", w.name)
}

// expectStream waits for the end of the stream, which must be complete.
func (w *shutdownWork) expectStream() {
	GinkgoHelper()
	var ended error
	Eventually(w.stream, controlTimeout).Should(Receive(&ended), "the stream %s", w.name)
	Expect(ended).NotTo(HaveOccurred(), "the stream %s", w.name)
}

// expectFullRate floods the workspace that has a limit. The platform's list still
// names the VM that left, so only released shares give the whole rate.
func (d *deployment) expectFullRate(b *balancer) {
	GinkgoHelper()
	const rate, share = 200.0, 0.95
	last := d.shape.Workspaces[len(d.shape.Workspaces)-1].Name
	l := d.startLoad(loadConfig{
		key:     d.declared.Keys[last],
		marker:  "rate-after",
		rate:    floodFactor * rate,
		targets: b.vms,
	})
	// The flood first uses up what the buckets hold.
	pause(1500 * time.Millisecond)
	from := clock.Now()
	pause(3 * time.Second)
	to := clock.Now()
	l.stop()
	counts := reasons(l.between(from, to))
	admitted := float64(counts[""]) / to.Sub(from).Seconds()
	GinkgoWriter.Printf("%.0f of %.0f requests per second after the shutdown: %v\n", admitted, rate, counts)
	Expect(admitted).To(BeNumerically(">=", share*rate))
}
