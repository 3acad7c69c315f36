package data_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

const (
	// requestTimeout is the default deadline of the preset.
	requestTimeout = 5 * time.Second
	// serveTimeout bounds the wait for a deployment that serves again.
	serveTimeout = 20 * time.Second
	// seed of all sessions.
	seed = 1
)

// Store outages for POST /admin/faults.
const (
	storeUp  = `{"outage":"off"}`
	storeOut = `{"outage":"fail"}`
)

// data is one deployment and the writes of its cases so far. The faults are those
// of the first database.
type data struct {
	*harness.Deployment
	database string
	shape    harness.Spec
	// directory holds the logs of the processes.
	directory string
	keys      map[string]string
	http      *http.Client
	hooks     *http.Client
	timer     timer.Service
	worker    string

	mu       sync.Mutex
	excluded map[*harness.VM]bool
	writes   []workload.WriteRecord
	// failed keeps the logs of the processes after a failed case.
	failed bool
}

// dataShape is a deployment with one database, five VMs and no effective limit.
func dataShape() harness.Spec {
	shape := harness.Saltmyri()
	shape.Databases = shape.Databases[:1]
	shape.VMs = []string{"olfusa", "olfusa", "thjorsa", "thjorsa", "hvitarosar"}
	shape.Workspaces = shape.Workspaces[:2]
	for i := range shape.Workspaces {
		shape.Workspaces[i].Rate = 5000
		shape.Workspaces[i].Burst = 5000
	}
	return shape
}

// startData starts a deployment that ends with the container of its caller.
func startData(ctx context.Context, subnet byte, shape harness.Spec) *data {
	GinkgoHelper()
	programs, err := buildPrograms()
	Expect(err).NotTo(HaveOccurred())
	directory, err := os.MkdirTemp("", "amaranthdock-faults-")
	Expect(err).NotTo(HaveOccurred())
	d := &data{
		database:  shape.Databases[0],
		shape:     shape,
		directory: directory,
		timer:     timer.NewSystem(),
		worker:    shape.Workspaces[0].Name,
		excluded:  map[*harness.VM]bool{},
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
		hooks: &http.Client{
			Timeout: time.Second,
		},
	}
	d.Deployment, err = harness.Start(ctx, harness.Config{
		Spec:    shape,
		BinDir:  programs,
		WorkDir: directory,
		Subnet:  subnet,
		Timer:   d.timer,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		d.Stop()
		if d.failed {
			AddReportEntry("logs of the processes", directory)
			return
		}
		Expect(os.RemoveAll(directory)).To(Succeed())
	})
	declared := d.NewDeclaration()
	d.keys = declared.Keys
	Expect(d.Apply(ctx, declared)).To(Succeed())
	d.waitServing(ctx)
	return d
}

// client returns a client of a workspace at a VM; a nil session is a new one.
func (d *data) client(v *harness.VM, session *client.Session) *client.Client {
	GinkgoHelper()
	c, err := client.New(client.Config{
		BaseURL:    "http://" + v.Caller.String(),
		HTTPClient: d.http,
		Key:        d.keys[d.worker],
		Session:    session,
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// exclude takes a VM out of the load balancer's targets, or puts it back.
func (d *data) exclude(v *harness.VM, excluded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excluded[v] = excluded
}

func (d *data) targetVMs() []*harness.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var targets []*harness.VM
	for _, v := range d.VMs {
		if !d.excluded[v] {
			targets = append(targets, v)
		}
	}
	return targets
}

func (d *data) targets() []netip.AddrPort {
	var targets []netip.AddrPort
	for _, v := range d.targetVMs() {
		targets = append(targets, v.Caller)
	}
	return targets
}

// logs returns the logs of the first database's members that answer.
func (d *data) logs() []*workload.MemberLog {
	return d.logsOf(d.database)
}

func (d *data) logsOf(database string) []*workload.MemberLog {
	var logs []*workload.MemberLog
	for _, m := range d.MembersOf(database) {
		if log, err := workload.FetchLog(d.hooks, d.MemberURL(m)); err == nil {
			logs = append(logs, log)
		}
	}
	return logs
}

// findPrimary returns the member that leads in the highest term, if one does.
func (d *data) findPrimary() (*harness.Member, bool) {
	var best *workload.MemberLog
	for _, log := range d.logs() {
		if log.IsPrimary && (best == nil || log.FencedTerm > best.FencedTerm) {
			best = log
		}
	}
	for _, m := range d.MembersOf(d.database) {
		if best != nil && m.Endpoint == best.Endpoint {
			return m, true
		}
	}
	return nil, false
}

// primary returns the member that leads in the highest term.
func (d *data) primary() *harness.Member {
	GinkgoHelper()
	m, ok := d.findPrimary()
	Expect(ok).To(BeTrue(), "the database has no primary")
	return m
}

// replicas returns the members other than the primary.
func (d *data) replicas() []*harness.Member {
	GinkgoHelper()
	primary := d.primary()
	var replicas []*harness.Member
	for _, m := range d.MembersOf(d.database) {
		if m != primary {
			replicas = append(replicas, m)
		}
	}
	return replicas
}

// setStore starts or ends an outage of the store.
func (d *data) setStore(ctx context.Context, faults string) {
	GinkgoHelper()
	Expect(d.PostToPlatform(ctx, "/admin/faults", []byte(faults))).To(Succeed())
}

// restore ends all faults and waits until the deployment serves again.
func (d *data) restore(ctx context.Context) {
	GinkgoHelper()
	d.Network.Heal()
	for _, m := range d.Members {
		d.revive(m.Process)
		Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
			return errors.Join(
				d.PostToMember(ctx, m, "/replication?state=running"),
				d.PostToMember(ctx, m, "/lag?value="+d.shape.ReplicationLag.String()),
			)
		})).To(Succeed())
	}
	for _, v := range d.VMs {
		d.revive(v.Process)
		d.exclude(v, false)
	}
	d.setStore(ctx, storeUp)
	d.waitServing(ctx)
}

// revive continues a paused process and starts one that has ended.
func (d *data) revive(p *harness.Process) {
	GinkgoHelper()
	select {
	case <-p.Done():
		Expect(p.Start()).To(Succeed())
	default:
		Expect(p.Continue()).To(Succeed())
	}
}

// finishCase is for AfterEach: a failed case leaves its faults, and its logs are
// kept.
func (d *data) finishCase(ctx SpecContext) {
	if CurrentSpecReport().Failed() {
		d.failed = true
		d.restore(ctx)
	}
}

// waitServing waits until each VM serves writes to each database and all members
// of a database hold the same log.
func (d *data) waitServing(ctx context.Context) {
	GinkgoHelper()
	for _, v := range d.VMs {
		for _, database := range d.shape.Databases {
			Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
				limited, cancel := timer.WithTimeout(ctx, d.timer, time.Second)
				defer cancel()
				return d.put(limited, d.client(v, nil), database, "ready/"+v.Name, "yes")
			})).To(Succeed(), "%s serves no writes", v.Name)
		}
	}
	for _, database := range d.shape.Databases {
		Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
			return d.checkEqualLogs(database)
		})).To(Succeed())
	}
}

// put writes a value that may be written again.
func (d *data) put(ctx context.Context, c *client.Client, database, key, value string) error {
	_, err := c.Execute(ctx, client.Statement{
		Database:   database,
		Command:    "put",
		Arguments:  []string{key, value},
		Write:      true,
		Idempotent: true,
	})
	return err
}

func (d *data) checkEqualLogs(database string) error {
	logs := d.logsOf(database)
	if len(logs) != harness.MembersPerDatabase {
		return fmt.Errorf("%d members answer", len(logs))
	}
	for _, log := range logs[1:] {
		if len(log.Entries) != len(logs[0].Entries) {
			return fmt.Errorf("the logs of %s and %s differ in length", log.Endpoint, logs[0].Endpoint)
		}
	}
	return nil
}

// record keeps the outcome of a write for the check against the logs.
func (d *data) record(requestID string, keys []string, began time.Time, err error) workload.WriteRecord {
	outcome, reason := workload.Classify(err)
	w := workload.WriteRecord{
		RequestID: requestID,
		Database:  d.database,
		Workspace: d.worker,
		Keys:      keys,
		Outcome:   outcome,
		Reason:    reason,
		StartedAt: began,
		EndedAt:   d.timer.Now(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes = append(d.writes, w)
	return w
}

// insert writes a record that exists once, and keeps its outcome.
func (d *data) insert(ctx context.Context, c *client.Client, key string) workload.WriteRecord {
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), d.timer, requestTimeout)
	defer cancel()
	began := d.timer.Now()
	id := uuid.NewString()
	_, err := c.Execute(ctx, client.Statement{
		Database:  d.database,
		Command:   "insert",
		Arguments: []string{key, id},
		Write:     true,
		RequestID: id,
	})
	return d.record(id, []string{key}, began, err)
}

// expectClean compares all writes of the deployment so far with the log of the
// final primary, and the logs of the members with each other.
func (d *data) expectClean() *workload.VerifyResult {
	GinkgoHelper()
	d.mu.Lock()
	writes := append([]workload.WriteRecord(nil), d.writes...)
	d.mu.Unlock()
	verdict, err := workload.Verify(writes, d.database, d.logs())
	Expect(err).NotTo(HaveOccurred())
	Expect(verdict.Lost).To(BeEmpty(), "acknowledged writes that the final primary does not hold")
	Expect(verdict.Doubled).To(BeEmpty(), "request ids that stand more than once in the log")
	Expect(verdict.FalseNotRun).To(BeEmpty(), "writes reported as not run that are in the log")
	Expect(verdict.WrongWorkspace).To(BeEmpty())
	return verdict
}
