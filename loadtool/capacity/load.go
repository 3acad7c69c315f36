package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/client"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

const (
	statementTimeout = 5 * time.Second
	// One statement in writeInterval of the mixed load is a write.
	writeInterval = 3
	// readWorkers workers share the rate of a load of reads.
	readWorkers = 25
)

// pacedLoad is a load at a fixed rate. The rate drops if responses are slow.
type pacedLoad struct {
	cancel    context.CancelFunc
	workers   sync.WaitGroup
	succeeded atomic.Int64
	failed    atomic.Int64
}

func (l *pacedLoad) stop() {
	l.cancel()
	l.workers.Wait()
}

// runWorker runs one statement per interval until the context ends.
func (l *pacedLoad) runWorker(ctx context.Context, clock timer.Service, interval time.Duration, run func(ctx context.Context, count int) error) {
	ticks := clock.Every(interval)
	defer ticks.Stop()
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		if err := run(context.WithoutCancel(ctx), count); err != nil {
			l.failed.Add(1)
			continue
		}
		l.succeeded.Add(1)
	}
}

// startMixedLoad runs perVM reads and writes per second at every VM.
func (f *fleet) startMixedLoad(ctx context.Context, perVM int) *pacedLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &pacedLoad{
		cancel: cancel,
	}
	for i, v := range f.deployment.LiveVMs() {
		workspace := f.spec.Workspaces[i%len(f.spec.Workspaces)].Name
		database := f.spec.Databases[i%len(f.spec.Databases)]
		session := client.NewSession()
		load.workers.Go(func() {
			load.runWorker(ctx, f.config.Timer, time.Second/time.Duration(perVM), func(ctx context.Context, count int) error {
				statement := client.Statement{
					Database:  database,
					Command:   "get",
					Arguments: []string{"light/" + v.Name},
				}
				if count%writeInterval == 0 {
					statement.Command = "put"
					statement.Arguments = append(statement.Arguments, "value")
					statement.Write = true
				}
				_, err := f.execute(ctx, v, workspace, session, statement)
				return err
			})
		})
	}
	return load
}

// startReads runs rate reads per second at one VM, for a workspace and without a session.
func (f *fleet) startReads(ctx context.Context, v *harness.VM, workspace string, rate int) *pacedLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &pacedLoad{
		cancel: cancel,
	}
	if rate == 0 {
		return load
	}
	interval := time.Second * readWorkers / time.Duration(rate)
	for range readWorkers {
		load.workers.Go(func() {
			load.runWorker(ctx, f.config.Timer, interval, func(ctx context.Context, _ int) error {
				_, err := f.readOnce(ctx, v, workspace)
				return err
			})
		})
	}
	return load
}

// readOnce reads without a session, so the read is served by the primary.
func (f *fleet) readOnce(ctx context.Context, v *harness.VM, workspace string) (client.Result, error) {
	return f.execute(ctx, v, workspace, nil, client.Statement{
		Database:  f.spec.Databases[0],
		Command:   "get",
		Arguments: []string{"light/" + v.Name},
	})
}

func (f *fleet) execute(ctx context.Context, v *harness.VM, workspace string, session *client.Session, statement client.Statement) (client.Result, error) {
	ctx, cancel := timer.WithTimeout(ctx, f.config.Timer, statementTimeout)
	defer cancel()
	c, err := client.New(client.Config{
		BaseURL:    "http://" + v.Caller.String(),
		HTTPClient: f.http,
		Key:        f.declared.Keys[workspace],
		Session:    session,
	})
	if err != nil {
		return client.Result{}, err
	}
	return c.Execute(ctx, statement)
}

// homeOf returns the name of the home VM of an endpoint.
func (f *fleet) homeOf(endpoint string) string {
	var live []routing.VM
	for _, v := range f.deployment.LiveVMs() {
		live = append(live, routing.VM{
			Name:       v.Name,
			DataCentre: v.DataCentre,
			Region:     v.Region,
		})
	}
	for _, m := range f.deployment.Members {
		if m.Endpoint != endpoint {
			continue
		}
		region := ""
		for _, r := range f.spec.Regions {
			for _, dataCentre := range r.DataCentres {
				if dataCentre == m.DataCentre {
					region = r.Name
				}
			}
		}
		home, _ := routing.Home(endpoint, m.DataCentre, region, live)
		return home.Name
	}
	return ""
}

// waitUntilServing waits until a read succeeds at each VM.
func (f *fleet) waitUntilServing(ctx context.Context) error {
	const timeout = 30 * time.Second
	for _, v := range f.deployment.LiveVMs() {
		if err := harness.WaitFor(ctx, f.config.Timer, timeout, func() error {
			_, err := f.readOnce(ctx, v, f.spec.Workspaces[0].Name)
			return err
		}); err != nil {
			return eris.Wrapf(err, "capacity: %s does not serve reads", v.Name)
		}
	}
	return nil
}

// openConnections opens client connections to a VM and sends one request on each. They stay
// open until the returned function is called.
func openConnections(v *harness.VM, count int) (func(), error) {
	var open []net.Conn
	closeAll := func() {
		for _, c := range open {
			// All requests on the connection have been made.
			_ = c.Close()
		}
	}
	request := fmt.Sprintf("GET / HTTP/1.1\r\nHost: %s\r\n\r\n", v.Caller)
	response := make([]byte, 1024)
	for range count {
		c, err := net.Dial("tcp", v.Caller.String())
		if err != nil {
			closeAll()
			return nil, eris.Wrap(err, "capacity: open a client connection")
		}
		open = append(open, c)
		if _, err := c.Write([]byte(request)); err != nil {
			closeAll()
			return nil, eris.Wrap(err, "capacity: send a request on a client connection")
		}
		if _, err := c.Read(response); err != nil {
			closeAll()
			return nil, eris.Wrap(err, "capacity: read a response on a client connection")
		}
	}
	return closeAll, nil
}
