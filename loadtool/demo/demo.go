// Package demo runs a workload on a small deployment and causes failures.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

// Config configures a run.
type Config struct {
	Spec     harness.Spec
	BinDir   string
	Duration time.Duration
	Seed     uint64
	Output   io.Writer
	Timer    timer.Service
}

const (
	// subnet is the second byte of the demo's loopback addresses.
	subnet = 40
	// sessionsPerWorkspace keeps every workspace below its rate limit.
	sessionsPerWorkspace = 3
	sessionPause         = 90 * time.Millisecond
	requestTimeout       = 5 * time.Second
	maxReadAge           = 2 * time.Second
	// settleTime is the wait for the replication before the members' logs are compared.
	settleTime = time.Second
	// vmListDelay is the time after a kill until the platform's list no longer has the VM.
	vmListDelay = 2 * time.Second
)

// runner is one run of the demo.
type runner struct {
	config     Config
	deployment *harness.Deployment
	declared   *harness.Declaration
	recorder   *workload.Recorder
	http       *http.Client
	workDir    string

	mu      sync.Mutex
	removed map[*harness.VM]bool
}

// Run runs the demo. It returns an error if a write was lost, applied twice or misreported,
// or if a read returned stale data.
func Run(ctx context.Context, config Config) error {
	r, err := start(ctx, config)
	if err != nil {
		return err
	}
	defer r.close()
	if err := r.compareLatency(ctx); err != nil {
		return err
	}
	if err := r.runWorkload(ctx); err != nil {
		return err
	}
	return r.report()
}

// Serve starts a deployment and prints how to reach it until the context ends.
func Serve(ctx context.Context, config Config) error {
	r, err := start(ctx, config)
	if err != nil {
		return err
	}
	defer r.close()
	workspace := config.Spec.Workspaces[0].Name
	r.printf("\nexport CALLER=%s\nexport KEY=%s\n", r.deployment.VMs[0].Caller, r.declared.Keys[workspace])
	r.printf("amaranthctl %s status\n\nInterrupt to end.\n", strings.Join(r.deployment.AmaranthctlFlags(), " "))
	<-ctx.Done()
	return nil
}

func start(ctx context.Context, config Config) (*runner, error) {
	workDir, err := os.MkdirTemp("", "amaranthdock-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "demo: create the work directory")
	}
	r := &runner{
		config:   config,
		recorder: workload.NewRecorder(),
		workDir:  workDir,
		removed:  map[*harness.VM]bool{},
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
	}
	r.printf("starting %s: platform, %d members, %d VMs; logs in %s\n", config.Spec.Name,
		len(config.Spec.Databases)*harness.MembersPerDatabase, len(config.Spec.VMs), workDir)
	r.deployment, err = harness.Start(ctx, harness.Config{
		Spec:    config.Spec,
		BinDir:  config.BinDir,
		WorkDir: workDir,
		Subnet:  subnet,
		Timer:   config.Timer,
	})
	if err != nil {
		return nil, err
	}
	r.declared = r.deployment.NewDeclaration()
	if err := r.deployment.Apply(ctx, r.declared); err != nil {
		r.deployment.Stop()
		return nil, err
	}
	if err := r.waitUntilServing(ctx); err != nil {
		r.deployment.Stop()
		return nil, err
	}
	r.printf("declaration applied, all VMs ready, all databases have a primary\n")
	return r, nil
}

func (r *runner) close() {
	r.deployment.Stop()
}

func (r *runner) printf(format string, values ...any) {
	// Write errors are ignored: the output is only for people to read.
	_, _ = fmt.Fprintf(r.config.Output, format, values...)
}

// waitUntilServing waits until a write to each database succeeds through each VM.
func (r *runner) waitUntilServing(ctx context.Context) error {
	const timeout = 20 * time.Second
	for _, v := range r.deployment.VMs {
		for _, database := range r.config.Spec.Databases {
			err := harness.WaitFor(ctx, r.config.Timer, timeout, func() error {
				return r.writeOnce(ctx, v, database)
			})
			if err != nil {
				return eris.Wrapf(err, "demo: %s does not serve %s", v.Name, database)
			}
		}
	}
	return nil
}

func (r *runner) writeOnce(ctx context.Context, v *harness.VM, database string) error {
	ctx, cancel := timer.WithTimeout(ctx, r.config.Timer, requestTimeout)
	defer cancel()
	c, err := r.client(v)
	if err != nil {
		return err
	}
	_, err = c.Execute(ctx, client.Statement{
		Database:   database,
		Command:    "put",
		Arguments:  []string{"ready/" + v.Name, "yes"},
		Write:      true,
		Idempotent: true,
	})
	return err
}

// client returns a client that sends requests of the first workspace to a VM.
func (r *runner) client(v *harness.VM) (*client.Client, error) {
	return client.New(client.Config{
		BaseURL:    "http://" + v.Caller.String(),
		HTTPClient: r.http,
		Key:        r.declared.Keys[r.config.Spec.Workspaces[0].Name],
	})
}

// targets returns the addresses of the VMs to which the load balancer sends requests.
func (r *runner) targets() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []netip.AddrPort
	for _, v := range r.deployment.VMs {
		if !r.removed[v] {
			targets = append(targets, v.Caller)
		}
	}
	return targets
}

// runWorkload runs all sessions and injects the failures.
func (r *runner) runWorkload(ctx context.Context) error {
	running, cancel := timer.WithTimeout(ctx, r.config.Timer, r.config.Duration)
	defer cancel()
	var sessions sync.WaitGroup
	for i, w := range r.config.Spec.Workspaces {
		for j := range sessionsPerWorkspace {
			number := i*sessionsPerWorkspace + j
			s := workload.NewSession(r.sessionConfig(w, number))
			sessions.Go(func() { s.Run(running) })
		}
	}
	err := r.injectFailures(running)
	sessions.Wait()
	if ctx.Err() != nil {
		return eris.Wrap(ctx.Err(), "demo: interrupted")
	}
	return err
}

func (r *runner) sessionConfig(w harness.WorkspaceSpec, number int) workload.SessionConfig {
	databases := r.config.Spec.Databases
	return workload.SessionConfig{
		Name:      fmt.Sprintf("session-%d", number),
		Workspace: w.Name,
		Worth:     w.Worth,
		Key:       r.declared.Keys[w.Name],
		Database:  databases[number%len(databases)],
		Targets:   r.targets,
		Mix: workload.Mix{
			Writes:       35,
			Transactions: 10,
			MaxAgeReads:  25,
		},
		Pause:      sessionPause,
		Timeout:    requestTimeout,
		MaxAge:     maxReadAge,
		Seed:       r.config.Seed + uint64(number),
		HTTPClient: r.http,
		Timer:      r.config.Timer,
		Recorder:   r.recorder,
	}
}

// injectFailures kills a proxy after a quarter of the run and a primary after half of it.
func (r *runner) injectFailures(ctx context.Context) error {
	quarter := r.config.Duration / 4
	if err := timer.Sleep(ctx, r.config.Timer, quarter); err != nil {
		return nil
	}
	killed := r.deployment.VMs[0]
	r.printf("killing proxy %s\n", killed.Name)
	if err := killed.Kill(); err != nil {
		return err
	}
	r.mu.Lock()
	r.removed[killed] = true
	r.mu.Unlock()
	if err := timer.Sleep(ctx, r.config.Timer, min(vmListDelay, quarter/2)); err != nil {
		return nil
	}
	if err := r.deployment.SetVMList(ctx, r.deployment.LiveVMs()); err != nil {
		return err
	}
	if err := timer.Sleep(ctx, r.config.Timer, quarter/2); err != nil {
		return nil
	}
	return r.killPrimary()
}

func (r *runner) killPrimary() error {
	database := r.config.Spec.Databases[0]
	for _, m := range r.deployment.MembersOf(database) {
		log, err := workload.FetchLog(r.http, r.deployment.MemberURL(m))
		if err != nil {
			return err
		}
		if !log.IsPrimary {
			continue
		}
		r.printf("killing primary %s\n", m.Endpoint)
		return m.Kill()
	}
	return eris.Errorf("demo: database %s has no primary", database)
}
