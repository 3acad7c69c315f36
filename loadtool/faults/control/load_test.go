package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

// sentRequest is one request of a load.
type sentRequest struct {
	vm       *harness.VM
	sent     time.Time
	received time.Time
	outcome  client.Outcome
	reason   string
	err      error
}

// loadConfig configures an open-loop load: requests are sent at a steady rate,
// without waiting for responses.
type loadConfig struct {
	key string
	// keyPrefix is the prefix of the database keys in the statements.
	keyPrefix string
	// rate is the mean rate in requests per second.
	rate float64
	// targets returns the VMs to use; requests go to them in turn.
	targets func() []*harness.VM
	// route is the public route that a load without a key uses.
	route   string
	write   bool
	timeout time.Duration
}

// load is a running or stopped load and its requests.
type load struct {
	stop func()

	mu       sync.Mutex
	requests []sentRequest
}

// startLoad sends requests until stop is called, which waits for the responses.
func (d *deployment) startLoad(config loadConfig) *load {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{}
	clients := map[*harness.VM]*client.Client{}
	for _, v := range d.VMs {
		clients[v] = d.newClient(v, config.key)
	}
	if config.timeout == 0 {
		config.timeout = requestTimeout
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		random := rand.New(rand.NewPCG(seed, uint64(len(config.keyPrefix))))
		nextSend := clock.Now()
		for n := 0; ; n++ {
			// Intervals are uniformly distributed between 0.5 and 1.5 times the mean.
			nextSend = nextSend.Add(time.Duration((0.5 + random.Float64()) / config.rate * float64(time.Second)))
			if timer.Sleep(ctx, clock, nextSend.Sub(clock.Now())) != nil {
				return
			}
			targets := config.targets()
			v := targets[n%len(targets)]
			statement := d.loadStatement(config, n)
			wg.Go(func() { l.send(config, clients[v], v, statement) })
		}
	})
	l.stop = func() {
		cancel()
		wg.Wait()
	}
	// Stops the load also if the spec fails.
	DeferCleanup(l.stop)
	return l
}

func (d *deployment) loadStatement(config loadConfig, n int) client.Statement {
	statement := client.Statement{
		Database:  d.spec.Databases[n%2],
		Command:   "get",
		Arguments: []string{fmt.Sprintf("%s/%d", config.keyPrefix, n)},
		MaxAge:    2 * time.Second,
	}
	if config.route != "" {
		statement.Route = config.route
		statement.Database = d.spec.Databases[0]
	}
	if config.write {
		statement.Command = "insert"
		statement.Arguments = append(statement.Arguments, "x")
		statement.Write = true
		statement.MaxAge = 0
	}
	return statement
}

func (l *load) send(config loadConfig, c *client.Client, v *harness.VM, statement client.Statement) {
	ctx, cancel := timer.WithTimeout(context.Background(), clock, config.timeout)
	defer cancel()
	r := sentRequest{
		vm:   v,
		sent: clock.Now(),
	}
	_, r.err = c.Execute(ctx, statement)
	r.received = clock.Now()
	r.outcome, r.reason = workload.Classify(r.err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// sentBetween returns the requests that were sent in an interval.
func (l *load) sentBetween(from, to time.Time) []sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []sentRequest
	for _, r := range l.requests {
		if !r.sent.Before(from) && r.sent.Before(to) {
			selected = append(selected, r)
		}
	}
	return selected
}

func (l *load) allRequests() []sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sentRequest(nil), l.requests...)
}

// keyPrefixOf returns the prefix of a database key that a load used.
func keyPrefixOf(key string) string {
	prefix, _, _ := strings.Cut(key, "/")
	return prefix
}

// countReasons counts the requests by reason. Successful requests are counted under
// the empty reason.
func countReasons(requests []sentRequest) map[string]int {
	counts := map[string]int{}
	for _, r := range requests {
		counts[r.reason]++
	}
	return counts
}

// expectAllDone fails unless there are requests and all of them succeeded.
func expectAllDone(requests []sentRequest, what string) {
	GinkgoHelper()
	Expect(requests).NotTo(BeEmpty(), what)
	for _, r := range requests {
		if r.err != nil {
			Fail(fmt.Sprintf("%s: at %s, sent %s after the first: %v; all reasons: %v",
				what, r.vm.Name, r.sent.Sub(requests[0].sent), r.err, countReasons(requests)))
		}
	}
}

func fixedTargets(vms ...*harness.VM) func() []*harness.VM {
	return func() []*harness.VM { return vms }
}
