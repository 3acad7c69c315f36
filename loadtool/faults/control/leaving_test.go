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
	// maxDrainTime is the time after which a drained endpoint gets no new statements.
	maxDrainTime = 4 * time.Second
	// idleCheckTime is how long a drained endpoint must then stay without statements.
	idleCheckTime = 2 * time.Second
)

// sessionLoad is a set of running caller sessions and the recorder of their requests.
type sessionLoad struct {
	stop     func()
	recorder *workload.Recorder
}

// startSessions starts sessions that send all kinds of requests to all databases.
func (d *deployment) startSessions(name string, balancer *loadBalancer) *sessionLoad {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sessionLoad{
		recorder: workload.NewRecorder(),
	}
	var wg sync.WaitGroup
	for i, w := range d.spec.Workspaces {
		for n := range 3 {
			number := 3*i + n
			session := workload.NewSession(workload.SessionConfig{
				Name:      fmt.Sprintf("%s-%d", name, number),
				Workspace: w.Name,
				Worth:     w.Worth,
				Key:       d.declared.Keys[w.Name],
				Database:  d.spec.Databases[n],
				Targets:   balancer.readyAddresses,
				Mix: workload.Mix{
					Writes:       40,
					Transactions: 10,
					MaxAgeReads:  25,
				},
				Pause:      50 * time.Millisecond,
				Timeout:    requestTimeout,
				MaxAge:     2 * time.Second,
				Seed:       seed + uint64(number),
				HTTPClient: d.httpClient,
				Timer:      clock,
				Recorder:   s.recorder,
			})
			wg.Go(func() { session.Run(ctx) })
		}
	}
	s.stop = func() {
		cancel()
		wg.Wait()
	}
	// Stops the load also if the spec fails.
	DeferCleanup(s.stop)
	return s
}

// expectWritesMatchLogs fails if a write was lost, duplicated or misreported, or if a
// read was stale.
func (d *deployment) expectWritesMatchLogs(recorder *workload.Recorder) {
	GinkgoHelper()
	// Waits until the members have replicated the last writes.
	sleep(500 * time.Millisecond)
	Expect(recorder.WriteTable(GinkgoWriter, nil)).To(Succeed())
	for _, database := range d.spec.Databases {
		result, err := workload.Verify(recorder.Writes(), database, d.logs(database))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Acknowledged).To(BeNumerically(">", 50), database)
		Expect(result.Passed()).To(BeTrue(), "%s: %+v", database, result)
	}
	Expect(recorder.StaleReads()).To(BeEmpty())
}

// expectNoFailures fails if any request of the sessions did not succeed.
func expectNoFailures(recorder *workload.Recorder) {
	GinkgoHelper()
	for _, kind := range []workload.Kind{workload.KindRead, workload.KindMaxAgeRead, workload.KindWrite, workload.KindTransaction} {
		Expect(recorder.Count(kind, client.Done)).To(BeNumerically(">", 0), kind)
		Expect(recorder.Count(kind, client.NotRun)).To(BeZero(), "%s refused as not run", kind)
		Expect(recorder.Count(kind, client.Unknown)).To(BeZero(), "%s with unknown outcome", kind)
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
	Expect(json.Unmarshal([]byte(d.mustRunAmaranthctl("--output", "json", "status")), &status)).To(Succeed())
	for _, database := range status.Databases {
		for _, member := range database.Members {
			for _, v := range d.VMs {
				if member.Endpoint == m.Endpoint && member.Home == v.Name {
					return v
				}
			}
		}
	}
	Fail("no VM is the home of " + m.Endpoint)
	return nil
}

var _ = Describe("leaving", Ordered, ContinueOnFailure, func() {
	const database = "register-1"
	var (
		d        *deployment
		balancer *loadBalancer
	)

	BeforeAll(func() {
		d = startDeployment(104, func(config *harness.Config) {
			config.Spec.Slots = 20
		}, func(declared *harness.Declaration) {
			// The last workspace keeps a low limit, which expectFullRate measures.
			last := len(declared.Document.Workspaces) - 1
			keptWorkspace := declared.Document.Workspaces[last]
			withoutLimits(declared)
			declared.Document.Workspaces[last].Rate = 200
			declared.Document.Workspaces[last].Burst = 200
			Expect(declared.Document.Workspaces[last].Name).To(Equal(keptWorkspace.Name))
		})
		balancer = d.startLoadBalancer()
		DeferCleanup(balancer.stop)
	})

	DescribeTable("G11: a drained endpoint gets no new statements",
		// Guards against new statements at a drained endpoint later than maxDrainTime,
		// and against a write that is lost or has an unknown outcome because the drain
		// moved the primary.
		func(ofPrimary bool) {
			s := d.startSessions(fmt.Sprintf("drain-%t", ofPrimary), balancer)
			sleep(time.Second)
			primary := d.primary(database)
			drained := primary
			for _, m := range d.MembersOf(database) {
				if !ofPrimary && m != primary {
					drained = m
				}
			}
			statementCount := len(d.executedStatements(drained))
			Expect(statementCount).To(BeNumerically(">", 0), "%s executed no statements before the drain", drained.Endpoint)
			startedAt := clock.Now()
			d.mustRunAmaranthctl("endpoint", "drain", drained.Endpoint)
			sleep(startedAt.Add(maxDrainTime).Sub(clock.Now()))
			before := d.executedStatements(drained)
			sleep(idleCheckTime)
			after := d.executedStatements(drained)
			s.stop()
			Expect(after[len(before):]).To(BeEmpty(), "new statements at %s", drained.Endpoint)
			newPrimary := d.primary(database)
			Expect(newPrimary == primary).To(Equal(!ofPrimary), "the primary is %s, it was %s", newPrimary.Endpoint, primary.Endpoint)
			Expect(newPrimary).NotTo(Equal(drained))
			GinkgoWriter.Printf("longest write gap %s\n", workload.LongestWriteGap(s.recorder.Writes(), database))
			d.expectWritesMatchLogs(s.recorder)
			for _, kind := range []workload.Kind{workload.KindRead, workload.KindMaxAgeRead, workload.KindWrite} {
				Expect(s.recorder.Count(kind, client.Unknown)).To(BeZero(), "%s with unknown outcome during the drain", kind)
			}
			d.mustRunAmaranthctl("endpoint", "undrain", drained.Endpoint)
			sleep(time.Second)
		},
		Entry("of a replica", false),
		Entry("of the primary", true),
	)

	DescribeTable("G12: a graceful shutdown interrupts no request",
		// Guards against a shutdown that cuts off a request, a stream or an open
		// transaction, through the VM that leaves or through another one, and against
		// shares that the leaving VM does not release. A SIGHUP may arrive before and during
		// the shutdown.
		func(ofHome, hangUp bool) {
			leavingVM := d.VMs[1]
			if ofHome {
				leavingVM = d.homeOf(d.primary(database))
			}
			otherVM := d.VMs[0]
			if otherVM == leavingVM {
				otherVM = d.VMs[2]
			}
			s := d.startSessions(fmt.Sprintf("shutdown-%t-%t", ofHome, hangUp), balancer)
			sleep(time.Second)
			requests := []*shutdownRequests{
				d.startShutdownRequests(leavingVM, otherVM, database, "through the VM, then another"),
				d.startShutdownRequests(leavingVM, leavingVM, "register-2", "through the VM"),
				d.startShutdownRequests(otherVM, otherVM, database, "through another"),
			}
			if hangUp {
				Expect(leavingVM.HangUp()).To(Succeed())
			}
			sleep(300 * time.Millisecond)
			startedAt := clock.Now()
			Expect(leavingVM.Terminate()).To(Succeed())
			sleep(500 * time.Millisecond)
			if hangUp {
				Expect(leavingVM.HangUp()).To(Succeed())
			}
			for _, r := range requests {
				r.commit()
			}
			for _, r := range requests {
				r.expectCompleteStream()
			}
			Eventually(leavingVM.Done(), 45*time.Second).Should(BeClosed())
			GinkgoWriter.Printf("%s exited after %s\n", leavingVM.Name, clock.Now().Sub(startedAt))
			Expect(leavingVM.ExitCode()).To(BeZero())
			sleep(time.Second)
			s.stop()
			d.expectWritesMatchLogs(s.recorder)
			for _, w := range s.recorder.Writes() {
				if w.Outcome != client.Done {
					GinkgoWriter.Printf("%s, sent %s after the signal, took %s: %s\n",
						w.Database, w.StartedAt.Sub(startedAt), w.EndedAt.Sub(w.StartedAt), w.Reason)
				}
			}
			expectNoFailures(s.recorder)
			d.expectFullRate(balancer)
			Expect(leavingVM.Start()).To(Succeed())
			Expect(d.WaitReady(context.Background(), leavingVM)).To(Succeed())
			sleep(time.Second)
		},
		Entry("of any VM", false, false),
		Entry("of the home of a primary", true, false),
		Entry("of any VM that gets SIGHUP", false, true),
	)
})

// shutdownRequests are a transaction and a stream that are open when a VM receives
// the signal to shut down.
type shutdownRequests struct {
	name        string
	transaction *client.Transaction
	// target is the address of the VM that new connections of the caller go to.
	target    *atomic.Value
	nextVM    *harness.VM
	streamErr chan error
}

// newRedirectableClient returns a client that opens a new connection for each
// request, to the address that target holds.
func (d *deployment) newRedirectableClient(target *atomic.Value, key string) *client.Client {
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

// startShutdownRequests starts a stream and a transaction through firstVM. commit
// continues the transaction through nextVM.
func (d *deployment) startShutdownRequests(firstVM, nextVM *harness.VM, database, name string) *shutdownRequests {
	GinkgoHelper()
	workspace := d.spec.Workspaces[0].Name
	ctx, cancel := timer.WithTimeout(context.Background(), clock, 30*time.Second)
	DeferCleanup(cancel)
	target := &atomic.Value{}
	target.Store(firstVM.Caller.String())
	c := d.newRedirectableClient(target, d.declared.Keys[workspace])
	transaction, err := c.Begin(ctx, database)
	Expect(err).NotTo(HaveOccurred(), name)
	_, err = transaction.Execute(ctx, client.Statement{
		Command:   "put",
		Arguments: []string{"shutdown/" + name, "begun"},
		Write:     true,
	})
	Expect(err).NotTo(HaveOccurred(), name)
	r := &shutdownRequests{
		name:        name,
		transaction: transaction,
		target:      target,
		nextVM:      nextVM,
		streamErr:   make(chan error, 1),
	}
	go func() {
		_, err := c.Query(ctx, client.Statement{
			Database:  database,
			Command:   "sleep",
			Arguments: []string{"3s"},
		}, func([]string) error { return nil })
		r.streamErr <- err
	}()
	return r
}

// commit executes another statement in the transaction and commits it.
func (r *shutdownRequests) commit() {
	GinkgoHelper()
	ctx, cancel := timer.WithTimeout(context.Background(), clock, requestTimeout)
	defer cancel()
	r.target.Store(r.nextVM.Caller.String())
	_, err := r.transaction.Execute(ctx, client.Statement{
		Command:   "put",
		Arguments: []string{"shutdown/" + r.name, "finished"},
		Write:     true,
	})
	Expect(err).NotTo(HaveOccurred(), "a statement of the transaction %s", r.name)
	Expect(r.transaction.Commit(ctx)).To(Succeed(), "the transaction %s", r.name)
}

// expectCompleteStream waits for the end of the stream, which must succeed.
func (r *shutdownRequests) expectCompleteStream() {
	GinkgoHelper()
	var err error
	Eventually(r.streamErr, requestTimeout).Should(Receive(&err), "the stream %s", r.name)
	Expect(err).NotTo(HaveOccurred(), "the stream %s", r.name)
}

// expectFullRate sends more requests than the limit of the workspace that has a low
// one. The platform's list still names the VM that left, so the workspace gets its
// full rate only if that VM released its shares.
func (d *deployment) expectFullRate(balancer *loadBalancer) {
	GinkgoHelper()
	const rate, minShare = 200.0, 0.95
	last := d.spec.Workspaces[len(d.spec.Workspaces)-1].Name
	l := d.startLoad(loadConfig{
		key:       d.declared.Keys[last],
		keyPrefix: "rate-after",
		rate:      floodRateFactor * rate,
		targets:   balancer.readyVMs,
	})
	// The load first uses up the tokens in the buckets.
	sleep(1500 * time.Millisecond)
	from := clock.Now()
	sleep(3 * time.Second)
	to := clock.Now()
	l.stop()
	counts := countReasons(l.sentBetween(from, to))
	admitted := float64(counts[""]) / to.Sub(from).Seconds()
	GinkgoWriter.Printf("%.0f of %.0f requests per second after the shutdown: %v\n", admitted, rate, counts)
	Expect(admitted).To(BeNumerically(">=", minShare*rate))
}
