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

// loadConfig configures a load at a steady rate, which does not wait for answers.
type loadConfig struct {
	key string
	// marker begins the keys that the statements name.
	marker string
	// rate in requests per second.
	rate float64
	// targets are used in turn.
	targets func() []*harness.VM
	// route is the public route of a load without a key.
	route   string
	write   bool
	timeout time.Duration
}

// load is a running or ended load.
type load struct {
	stop func()

	mu       sync.Mutex
	requests []sentRequest
}

// startLoad sends requests until stop is called, which waits for the answers.
func (d *deployment) startLoad(config loadConfig) *load {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{}
	clients := map[*harness.VM]*client.Client{}
	for _, v := range d.VMs {
		clients[v] = d.caller(v, config.key)
	}
	if config.timeout == 0 {
		config.timeout = controlTimeout
	}
	var running sync.WaitGroup
	running.Go(func() {
		random := rand.New(rand.NewPCG(controlSeed, uint64(len(config.marker))))
		due := clock.Now()
		for n := 0; ; n++ {
			// Evenly spread between half and one and a half of the mean.
			due = due.Add(time.Duration((0.5 + random.Float64()) / config.rate * float64(time.Second)))
			if timer.Sleep(ctx, clock, due.Sub(clock.Now())) != nil {
				return
			}
			targets := config.targets()
			v := targets[n%len(targets)]
			statement := d.loadStatement(config, n)
			running.Go(func() { l.send(config, clients[v], v, statement) })
		}
	})
	l.stop = func() {
		cancel()
		running.Wait()
	}
	// A spec that fails leaves no load to the next one.
	DeferCleanup(l.stop)
	return l
}

func (d *deployment) loadStatement(config loadConfig, n int) client.Statement {
	statement := client.Statement{
		Database:  d.shape.Databases[n%2],
		Command:   "get",
		Arguments: []string{fmt.Sprintf("%s/%d", config.marker, n)},
		MaxAge:    2 * time.Second,
	}
	if config.route != "" {
		statement.Route = config.route
		statement.Database = d.shape.Databases[0]
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

// between returns the requests that were sent in an interval.
func (l *load) between(from, to time.Time) []sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var chosen []sentRequest
	for _, r := range l.requests {
		if !r.sent.Before(from) && r.sent.Before(to) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

func (l *load) all() []sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sentRequest(nil), l.requests...)
}

// markerOf returns the marker of a key that a load named.
func markerOf(key string) string {
	marker, _, _ := strings.Cut(key, "/")
	return marker
}

// reasons counts the requests by reason; those that were done have none.
func reasons(requests []sentRequest) map[string]int {
	counts := map[string]int{}
	for _, r := range requests {
		counts[r.reason]++
	}
	return counts
}

// expectAllDone fails unless there are requests and all of them were done.
func expectAllDone(requests []sentRequest, what string) {
	GinkgoHelper()
	Expect(requests).NotTo(BeEmpty(), what)
	for _, r := range requests {
		if r.err != nil {
			Fail(fmt.Sprintf("%s: at %s, sent %s after the first: %v; all reasons: %v",
				what, r.vm.Name, r.sent.Sub(requests[0].sent), r.err, reasons(requests)))
		}
	}
}

func always(vms ...*harness.VM) func() []*harness.VM {
	return func() []*harness.VM { return vms }
}
