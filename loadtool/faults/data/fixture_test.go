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
	// requestTimeout is the default request deadline of the preset.
	requestTimeout = 5 * time.Second
	// serveTimeout limits the wait until the deployment serves requests again.
	serveTimeout = 20 * time.Second
	// seed of the random choices in all sessions.
	seed = 1
)

// Bodies of POST /admin/faults that end and start an outage of the store.
const (
	storeUp   = `{"outage":"off"}`
	storeDown = `{"outage":"fail"}`
)

// deployment is a running deployment together with the writes that all cases have
// sent to it so far. Faults are injected into the members of its first database.
type deployment struct {
	*harness.Deployment
	database string
	spec     harness.Spec
	// workDir holds the log files of the processes.
	workDir    string
	keys       map[string]string
	httpClient *http.Client
	hookClient *http.Client
	timer      timer.Service
	workspace  string

	mu       sync.Mutex
	excluded map[*harness.VM]bool
	writes   []workload.WriteRecord
	// keepLogs is set after a failed case, so that workDir is not removed.
	keepLogs bool
}

// singleDatabaseSpec describes a deployment with one database, five VMs and rate
// limits too high to be reached.
func singleDatabaseSpec() harness.Spec {
	spec := harness.Saltmyri()
	spec.Databases = spec.Databases[:1]
	spec.VMs = []string{"olfusa", "olfusa", "thjorsa", "thjorsa", "hvitarosar"}
	spec.Workspaces = spec.Workspaces[:2]
	for i := range spec.Workspaces {
		spec.Workspaces[i].Rate = 5000
		spec.Workspaces[i].Burst = 5000
	}
	return spec
}

// startDeployment starts a deployment and waits until it serves requests. It is
// stopped after the last spec of the calling container.
func startDeployment(ctx context.Context, subnet byte, spec harness.Spec) *deployment {
	GinkgoHelper()
	programs, err := buildPrograms()
	Expect(err).NotTo(HaveOccurred())
	workDir, err := os.MkdirTemp("", "amaranthdock-faults-")
	Expect(err).NotTo(HaveOccurred())
	d := &deployment{
		database:  spec.Databases[0],
		spec:      spec,
		workDir:   workDir,
		timer:     timer.NewSystem(),
		workspace: spec.Workspaces[0].Name,
		excluded:  map[*harness.VM]bool{},
		httpClient: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
		hookClient: &http.Client{
			Timeout: time.Second,
		},
	}
	d.Deployment, err = harness.Start(ctx, harness.Config{
		Spec:    spec,
		BinDir:  programs,
		WorkDir: workDir,
		Subnet:  subnet,
		Timer:   d.timer,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		d.Stop()
		if d.keepLogs {
			AddReportEntry("process logs", workDir)
			return
		}
		Expect(os.RemoveAll(workDir)).To(Succeed())
	})
	declared := d.NewDeclaration()
	d.keys = declared.Keys
	Expect(d.Apply(ctx, declared)).To(Succeed())
	d.waitServing(ctx)
	return d
}

// client returns a client that sends its requests to a VM with the workspace's key.
// A nil session starts a new one.
func (d *deployment) client(v *harness.VM, session *client.Session) *client.Client {
	GinkgoHelper()
	c, err := client.New(client.Config{
		BaseURL:    "http://" + v.Caller.String(),
		HTTPClient: d.httpClient,
		Key:        d.keys[d.workspace],
		Session:    session,
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// exclude removes a VM from the targets of the load, or adds it again.
func (d *deployment) exclude(v *harness.VM, excluded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excluded[v] = excluded
}

func (d *deployment) targetVMs() []*harness.VM {
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

func (d *deployment) targets() []netip.AddrPort {
	var targets []netip.AddrPort
	for _, v := range d.targetVMs() {
		targets = append(targets, v.Caller)
	}
	return targets
}

// logs returns the logs of those members of the first database that respond.
func (d *deployment) logs() []*workload.MemberLog {
	return d.logsOf(d.database)
}

func (d *deployment) logsOf(database string) []*workload.MemberLog {
	var logs []*workload.MemberLog
	for _, m := range d.MembersOf(database) {
		if log, err := workload.FetchLog(d.hookClient, d.MemberURL(m)); err == nil {
			logs = append(logs, log)
		}
	}
	return logs
}

// findPrimary returns the primary with the highest term, if there is one.
func (d *deployment) findPrimary() (*harness.Member, bool) {
	var highest *workload.MemberLog
	for _, log := range d.logs() {
		if log.IsPrimary && (highest == nil || log.FencedTerm > highest.FencedTerm) {
			highest = log
		}
	}
	for _, m := range d.MembersOf(d.database) {
		if highest != nil && m.Endpoint == highest.Endpoint {
			return m, true
		}
	}
	return nil, false
}

// primary returns the primary with the highest term and fails without one.
func (d *deployment) primary() *harness.Member {
	GinkgoHelper()
	m, ok := d.findPrimary()
	Expect(ok).To(BeTrue(), "the database has no primary")
	return m
}

// replicas returns the members other than the primary.
func (d *deployment) replicas() []*harness.Member {
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

// setStoreFaults starts or ends an outage of the store.
func (d *deployment) setStoreFaults(ctx context.Context, faults string) {
	GinkgoHelper()
	Expect(d.PostToPlatform(ctx, "/admin/faults", []byte(faults))).To(Succeed())
}

// restore ends all faults and waits until the deployment serves requests again.
func (d *deployment) restore(ctx context.Context) {
	GinkgoHelper()
	d.Network.Heal()
	for _, m := range d.Members {
		d.ensureRunning(m.Process)
		Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
			return errors.Join(
				d.PostToMember(ctx, m, "/replication?state=running"),
				d.PostToMember(ctx, m, "/lag?value="+d.spec.ReplicationLag.String()),
			)
		})).To(Succeed())
	}
	for _, v := range d.VMs {
		d.ensureRunning(v.Process)
		d.exclude(v, false)
	}
	d.setStoreFaults(ctx, storeUp)
	d.waitServing(ctx)
}

// ensureRunning resumes a paused process and restarts one that has exited.
func (d *deployment) ensureRunning(p *harness.Process) {
	GinkgoHelper()
	select {
	case <-p.Done():
		Expect(p.Start()).To(Succeed())
	default:
		Expect(p.Continue()).To(Succeed())
	}
}

// finishCase runs after each case. A failed case may leave faults behind, so it
// ends them and keeps the logs.
func (d *deployment) finishCase(ctx SpecContext) {
	if CurrentSpecReport().Failed() {
		d.keepLogs = true
		d.restore(ctx)
	}
}

// waitServing waits until each VM accepts writes to each database and the logs of
// all members of a database have the same length.
func (d *deployment) waitServing(ctx context.Context) {
	GinkgoHelper()
	for _, v := range d.VMs {
		for _, database := range d.spec.Databases {
			Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
				requestCtx, cancel := timer.WithTimeout(ctx, d.timer, time.Second)
				defer cancel()
				return d.put(requestCtx, d.client(v, nil), database, "ready/"+v.Name, "yes")
			})).To(Succeed(), "%s accepts no writes", v.Name)
		}
	}
	for _, database := range d.spec.Databases {
		Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
			return d.checkEqualLogLengths(database)
		})).To(Succeed())
	}
}

// put writes a value as an idempotent statement.
func (d *deployment) put(ctx context.Context, c *client.Client, database, key, value string) error {
	_, err := c.Execute(ctx, client.Statement{
		Database:   database,
		Command:    "put",
		Arguments:  []string{key, value},
		Write:      true,
		Idempotent: true,
	})
	return err
}

// checkEqualLogLengths returns an error unless all members of a database respond
// and their logs have the same length.
func (d *deployment) checkEqualLogLengths(database string) error {
	logs := d.logsOf(database)
	if len(logs) != harness.MembersPerDatabase {
		return fmt.Errorf("%d members responded", len(logs))
	}
	for _, log := range logs[1:] {
		if len(log.Entries) != len(logs[0].Entries) {
			return fmt.Errorf("the logs of %s and %s differ in length", log.Endpoint, logs[0].Endpoint)
		}
	}
	return nil
}

// recordWrite stores the outcome of a write, to be compared with the members' logs
// by expectWritesMatchLogs.
func (d *deployment) recordWrite(requestID string, keys []string, startedAt time.Time, err error) workload.WriteRecord {
	outcome, reason := workload.Classify(err)
	w := workload.WriteRecord{
		RequestID: requestID,
		Database:  d.database,
		Workspace: d.workspace,
		Keys:      keys,
		Outcome:   outcome,
		Reason:    reason,
		StartedAt: startedAt,
		EndedAt:   d.timer.Now(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes = append(d.writes, w)
	return w
}

// insert sends one write of a record that must not exist yet, and stores the outcome.
func (d *deployment) insert(ctx context.Context, c *client.Client, key string) workload.WriteRecord {
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), d.timer, requestTimeout)
	defer cancel()
	startedAt := d.timer.Now()
	id := uuid.NewString()
	_, err := c.Execute(ctx, client.Statement{
		Database:  d.database,
		Command:   "insert",
		Arguments: []string{key, id},
		Write:     true,
		RequestID: id,
	})
	return d.recordWrite(id, []string{key}, startedAt, err)
}

// expectWritesMatchLogs compares all writes of the deployment so far with the log
// of the final primary, and the logs of the members with each other.
func (d *deployment) expectWritesMatchLogs() *workload.VerifyResult {
	GinkgoHelper()
	d.mu.Lock()
	writes := append([]workload.WriteRecord(nil), d.writes...)
	d.mu.Unlock()
	result, err := workload.Verify(writes, d.database, d.logs())
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Lost).To(BeEmpty(), "acknowledged writes that are missing in the log of the final primary")
	Expect(result.Doubled).To(BeEmpty(), "request ids that occur more than once in the log")
	Expect(result.FalseNotRun).To(BeEmpty(), "writes reported as not run that are in the log")
	Expect(result.WrongWorkspace).To(BeEmpty())
	return result
}
