package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// program is the command of the deploy file.
	program      = "target/amaranthdock-platform"
	graceSeconds = 6
	startLimit   = 20 * time.Second
	// databaseCount is the number of databases, each with one member a zone.
	databaseCount = 3
)

// vm is one process of the project's program.
type vm struct {
	name      string
	zone      string
	caller    string
	readiness string
	peer      string
	process   *exec.Cmd
	exited    chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *record
	folder string
	store  *store
	// databases are those of the deployment; the cases use the first one, database.
	databases []*database
	database  *database
	vms       []*vm
	version   int
	server    *http.Server
}

// zones maps the zones of the deployment to their regions.
var zones = []struct{ name, region string }{{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}}

// tenant is a tenant of the configuration.
type tenant struct {
	name string
	keys []string
}

// newFleet starts the store, a database and the processes, and waits until all are ready.
func newFleet(r *record, size int, tenants []tenant) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, store: newStore(r)}
	names := make([]string, 0, len(zones))
	for _, z := range zones {
		names = append(names, z.name)
	}
	for i := range databaseCount {
		d, err := newDatabase(fmt.Sprintf("ledger%d", i+1), names, f.store, r)
		if err != nil {
			return f, err
		}
		f.databases = append(f.databases, d)
	}
	f.database = f.databases[0]
	f.store.promote = func(service, id string) int {
		for _, d := range f.databases {
			if d.service == service {
				return d.promote(id)
			}
		}
		return http.StatusConflict
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.server = &http.Server{Handler: f.store}
	go f.server.Serve(listener)
	f.configure(tenants)
	for i := range size {
		z := zones[i%len(zones)]
		v := &vm{name: fmt.Sprintf("front-%s-%d", z.name, i/len(zones)+1), zone: z.name, exited: make(chan struct{})}
		v.caller, v.readiness, v.peer = freeAddress(), freeAddress(), freeAddress()
		f.vms = append(f.vms, v)
	}
	for i := range f.vms {
		if err := f.start(f.vms[i], listener.Addr().String()); err != nil {
			return f, err
		}
	}
	deadline := time.Now().Add(startLimit)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				return f, fmt.Errorf("%s was not ready within %s: %s", v.name, startLimit, f.lastOutput(v))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The machines have been undisturbed for contact_ms (5 s) before a case goes on.
	time.Sleep(5500 * time.Millisecond)
	r.printf("%d processes are ready", size)
	return f, nil
}

// configure writes the operator's next configuration and returns the time of its ack.
func (f *fleet) configure(tenants []tenant) time.Time {
	f.version += 3
	described := []map[string]any{}
	for _, t := range tenants {
		described = append(described, map[string]any{
			"name": t.name, "api_keys": t.keys, "priority": 1, "rate_per_s": 126, "burst": 126,
		})
	}
	var routes, services []map[string]any
	route := func(d *database, suffix, host, kind string, timeout, staleness int) {
		r := map[string]any{
			"name": "r-" + host + suffix, "host": host + suffix, "prefix": "/", "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 1000,
			"priority": 1, "service": d.service, "max_attempts": 2, "public": false,
		}
		if staleness > 0 {
			r["max_staleness_ms"] = staleness
		}
		routes = append(routes, r)
	}
	for i, d := range f.databases {
		suffix := ""
		if i > 0 {
			suffix = fmt.Sprintf("-%d", i+1)
		}
		route(d, suffix, "strict", "primary", 1000, 0)
		route(d, suffix, "bounded", "bounded_staleness", 3000, 1500)
		route(d, suffix, "own", "read_your_writes", 1000, 2500)
		services = append(services, map[string]any{
			"name": d.service, "health_path": "/health", "max_connections": maxConnections, "protocol": "h1", "tls": false, "sync_replicas": 0,
		})
	}
	acknowledged := f.store.set("op/config", map[string]any{
		"version":  f.version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000,
		},
		"tenants": described,
	})
	f.record.printf("operator: version %d is acknowledged, tenants %v", f.version, tenants)
	return acknowledged
}

// start writes the settings of a process and starts it with the command of the deploy file.
func (f *fleet) start(v *vm, platform string) error {
	file := filepath.Join(f.folder, v.name+".conf")
	if err := os.WriteFile(file, []byte(f.settings(v, platform)), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(f.folder, v.name+".log"))
	if err != nil {
		return err
	}
	v.process = exec.Command(program)
	v.process.Env = []string{"AMARANTHDOCK_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.process.Stdout, v.process.Stderr = output, output
	if err := v.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = v.process.Wait()
		output.Close()
		close(v.exited)
	}()
	return nil
}

func (f *fleet) settings(v *vm, platform string) string {
	host := "127.0.0.1"
	var seeds []string
	for _, other := range f.vms[:min(3, len(f.vms))] {
		seeds = append(seeds, other.peer)
	}
	region := ""
	for _, z := range zones {
		if z.name == v.zone {
			region = z.region
		}
	}
	first := freePorts(2)
	lines := []string{
		"node_name=" + v.name, "role=proxy", "machine_class=front", "serves=front,control", "ip=" + host,
		"zone=" + v.zone, "region=" + region,
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z.name+"="+z.region)
	}
	lines = append(lines,
		"listen_addrs.front="+v.caller, "listen_addrs.ready="+v.readiness, "listen_addrs.control="+v.peer,
		fmt.Sprintf("internal_ports=%d,%d", first, first+1), "seeds="+strings.Join(seeds, ","),
		"bootstrap=true", "loss_counts=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
		"limits.max_fds=4300", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
		"heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=5000", "bounds.ack_timeout_ms=6000",
		"bounds.catch_up_s=4", "bounds.drain_ms=7000", fmt.Sprintf("bounds.grace_s=%d", graceSeconds),
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=4000", "bounds.revert_slack_ms=250",
		"bounds.outer_bound_ms=15000", "bounds.fail_closed=false", "bounds.revoke_ms=5000", "bounds.quota_window_s=5",
		"bounds.quota_overage=0.1", "bounds.quota_slack=20", "bounds.recovery_s=12", "bounds.require_fencing=true",
		"bounds.thaw_slack_ms=300", "platform.address="+platform, "platform.form=kv", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
		"cloud_api.address="+platform, "cloud_api.rate_per_s=50.0", "cloud_api.duties=promotion", "cloud_api.duty_per_s=50.0")
	return strings.Join(lines, "\n") + "\n"
}

// The ports of the processes lie below the range from which the kernel takes the local ports
// of connections. A run reserves a block of them by listening at its first port, so that runs
// at the same time use different ones.
const (
	firstPort = 15000
	lastPort  = 30000
	blockSize = 100
)

// nextPort is the next port of the reserved block; 0 before it is reserved. blockListener holds
// the reservation: without a reference to it, it would be closed.
var (
	nextPort      int
	blockListener net.Listener
)

// reserveBlock reserves a block of ports until the program ends.
func reserveBlock() {
	for {
		first := firstPort + blockSize*rand.IntN((lastPort-firstPort)/blockSize)
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			nextPort, blockListener = first+1, listener
			return
		}
	}
}

// freePorts returns the first of some free ports in a row.
func freePorts(count int) int {
	if nextPort == 0 {
		reserveBlock()
	}
	for {
		first, free := nextPort, true
		nextPort += count
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				free = false
				continue
			}
			listener.Close()
		}
		if free {
			return first
		}
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePorts(1)) }

// ready asks for the readiness of a process as the platform does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.readiness + "/amaranthdock/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// lastOutput returns the end of what a process wrote.
func (f *fleet) lastOutput(v *vm) string {
	output, err := os.ReadFile(filepath.Join(f.folder, v.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(output[max(len(output)-600, 0):])
}

// terminate sends SIGTERM to a process, and SIGKILL after the grace.
func (f *fleet) terminate(v *vm) time.Time {
	sent := time.Now()
	_ = v.process.Process.Signal(syscall.SIGTERM)
	f.record.printf("platform: SIGTERM to %s", v.name)
	go func() {
		select {
		case <-v.exited:
			f.record.printf("%s has ended %.3f s after SIGTERM", v.name, time.Since(sent).Seconds())
		case <-time.After(graceSeconds * time.Second):
			_ = v.process.Process.Kill()
		}
	}()
	return sent
}

// stop ends all processes that were started and removes their files.
func (f *fleet) stop() {
	if f == nil {
		return
	}
	for _, v := range f.vms {
		if v.process != nil && v.process.Process != nil {
			_ = v.process.Process.Kill()
			<-v.exited
		}
	}
	if f.server != nil {
		f.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	}
}
