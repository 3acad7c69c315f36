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
	// writesEvery of the mixed load: one statement of so many is a write.
	writesEvery = 3
	// statementWorkers share the rate of a paced load.
	statementWorkers = 25
)

// pacedLoad is a load at a fixed rate, as far as the answers keep up.
type pacedLoad struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	done   atomic.Int64
	failed atomic.Int64
}

func (l *pacedLoad) stop() {
	l.cancel()
	l.group.Wait()
}

// runWorker runs a statement in each interval until the context ends.
func (l *pacedLoad) runWorker(ctx context.Context, service timer.Service, interval time.Duration, run func(ctx context.Context, count int) error) {
	ticks := service.Every(interval)
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
		l.done.Add(1)
	}
}

// mixed runs reads and writes at every VM, perVM in each second.
func (f *fleet) mixed(ctx context.Context, perVM int) *pacedLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &pacedLoad{
		cancel: cancel,
	}
	for i, v := range f.deployment.LiveVMs() {
		workspace := f.shape.Workspaces[i%len(f.shape.Workspaces)].Name
		database := f.shape.Databases[i%len(f.shape.Databases)]
		session := client.NewSession()
		load.group.Go(func() {
			load.runWorker(ctx, f.config.Timer, time.Second/time.Duration(perVM), func(ctx context.Context, count int) error {
				statement := client.Statement{
					Database:  database,
					Command:   "get",
					Arguments: []string{"light/" + v.Name},
				}
				if count%writesEvery == 0 {
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

// reads runs reads of a workspace without a session at one VM, rate in each
// second.
func (f *fleet) reads(ctx context.Context, v *harness.VM, workspace string, rate int) *pacedLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &pacedLoad{
		cancel: cancel,
	}
	if rate == 0 {
		return load
	}
	interval := time.Second * statementWorkers / time.Duration(rate)
	for range statementWorkers {
		load.group.Go(func() {
			load.runWorker(ctx, f.config.Timer, interval, func(ctx context.Context, _ int) error {
				_, err := f.readOnce(ctx, v, workspace)
				return err
			})
		})
	}
	return load
}

// readOnce reads without a session, and so at the primary.
func (f *fleet) readOnce(ctx context.Context, v *harness.VM, workspace string) (client.Result, error) {
	return f.execute(ctx, v, workspace, nil, client.Statement{
		Database:  f.shape.Databases[0],
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

// homeOf returns the name of the home of an endpoint.
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
		for _, r := range f.shape.Regions {
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

// waitServing waits until a read works at each VM.
func (f *fleet) waitServing(ctx context.Context) error {
	const timeout = 30 * time.Second
	for _, v := range f.deployment.LiveVMs() {
		if err := harness.WaitFor(ctx, f.config.Timer, timeout, func() error {
			_, err := f.readOnce(ctx, v, f.shape.Workspaces[0].Name)
			return err
		}); err != nil {
			return eris.Wrapf(err, "capacity: %s does not serve", v.Name)
		}
	}
	return nil
}

// holdConnections opens connections to the callers' listener that have each made
// one request and stay open until the returned function is called.
func holdConnections(v *harness.VM, count int) (func(), error) {
	var held []net.Conn
	closeAll := func() {
		for _, c := range held {
			// The connection has carried all it should.
			_ = c.Close()
		}
	}
	request := fmt.Sprintf("GET / HTTP/1.1\r\nHost: %s\r\n\r\n", v.Caller)
	answer := make([]byte, 1024)
	for range count {
		c, err := net.Dial("tcp", v.Caller.String())
		if err != nil {
			closeAll()
			return nil, eris.Wrap(err, "capacity: open a client connection")
		}
		held = append(held, c)
		if _, err := c.Write([]byte(request)); err != nil {
			closeAll()
			return nil, eris.Wrap(err, "capacity: use a client connection")
		}
		if _, err := c.Read(answer); err != nil {
			closeAll()
			return nil, eris.Wrap(err, "capacity: use a client connection")
		}
	}
	return closeAll, nil
}
