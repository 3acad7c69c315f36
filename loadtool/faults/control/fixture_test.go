package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

const (
	// controlTimeout of a request; also the deadline that the proxies see.
	controlTimeout = 5 * time.Second
	// controlSeed of all random sources.
	controlSeed = 1
)

var clock = timer.NewSystem()

// controlPrograms builds the programs once and returns their directory.
var controlPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "amaranthdock-control-")
	if err != nil {
		return "", err
	}
	for name, source := range map[string]string{
		"amaranthctl":  "amaranthdock.dev/amaranthctl",
		"amaranthdock": "amaranthdock.dev/proxy",
		"standin":      "amaranthdock.dev/standin",
	} {
		built, err := gexec.Build(source)
		if err != nil {
			return "", err
		}
		if err := os.Rename(built, filepath.Join(dir, name)); err != nil {
			return "", err
		}
	}
	gexec.CleanupBuildArtifacts()
	return dir, nil
})

// deployment is a running deployment that serves.
type deployment struct {
	*harness.Deployment
	declared *harness.Declaration
	http     *http.Client
	shape    harness.Spec
	workDir  string
}

// startControl starts a deployment for the specs of one container.
func startControl(subnet byte, configure func(*harness.Config), declare func(*harness.Declaration)) *deployment {
	GinkgoHelper()
	programs, err := controlPrograms()
	Expect(err).NotTo(HaveOccurred())
	workDir, err := os.MkdirTemp("", "amaranthdock-control-run-")
	Expect(err).NotTo(HaveOccurred())
	config := harness.Config{
		Spec:    harness.Hladnik(),
		BinDir:  programs,
		WorkDir: workDir,
		Subnet:  subnet,
		Timer:   clock,
	}
	configure(&config)
	started, err := harness.Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	d := &deployment{
		Deployment: started,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 256,
			},
		},
		shape:   config.Spec,
		workDir: workDir,
	}
	DeferCleanup(func() {
		started.Stop()
		if !CurrentSpecReport().Failed() {
			os.RemoveAll(workDir)
		}
	})
	d.declared = started.NewDeclaration()
	declare(d.declared)
	Expect(started.Apply(context.Background(), d.declared)).To(Succeed())
	for _, v := range d.VMs {
		for _, database := range d.shape.Databases {
			Eventually(func() error {
				return d.put(v, d.shape.Workspaces[0].Name, database, "ready/"+v.Name, "yes")
			}, 20*time.Second, 20*time.Millisecond).Should(Succeed())
		}
	}
	Eventually(func(g Gomega) {
		held, _ := d.shares()
		g.Expect(held).To(HaveLen(len(d.declared.Document.Workspaces) + len(d.declared.Document.Routes)))
		for subject, millionths := range held {
			g.Expect(millionths).To(BeEquivalentTo(1_000_000), subject)
		}
	}, 20*time.Second, 100*time.Millisecond).Should(Succeed())
	// Buckets start empty.
	pause(time.Second)
	return d
}

// shares returns the millionths that the live VMs hold of each subject together,
// and the tokens in their buckets.
func (d *deployment) shares() (held map[string]int64, tokens map[string][]int64) {
	GinkgoHelper()
	held = map[string]int64{}
	tokens = map[string][]int64{}
	for _, v := range d.LiveVMs() {
		dump, err := d.tryDump(v)
		Expect(err).NotTo(HaveOccurred())
		for _, s := range dump.Lending.Subjects {
			held[s.Name] += s.Millionths
			tokens[s.Name] = append(tokens[s.Name], s.Tokens)
		}
	}
	return held, tokens
}

func asHladnik(*harness.Config) {}

// withoutLimits sets limits that no spec reaches, for specs of other guarantees.
func withoutLimits(declared *harness.Declaration) {
	const plenty = 5000
	for i := range declared.Document.Workspaces {
		declared.Document.Workspaces[i].Rate = plenty
		declared.Document.Workspaces[i].Burst = plenty
	}
	declared.Document.Routes[0].Rate = plenty
	declared.Document.Routes[0].Burst = plenty
}

func asDeclared(*harness.Declaration) {}

// caller returns a client with a session of its own at a VM.
func (d *deployment) caller(v *harness.VM, key string) *client.Client {
	GinkgoHelper()
	c, err := client.New(client.Config{
		BaseURL:    "http://" + v.Caller.String(),
		HTTPClient: d.http,
		Key:        key,
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

func (d *deployment) put(v *harness.VM, workspace, database, key, value string) error {
	ctx, cancel := timer.WithTimeout(context.Background(), clock, controlTimeout)
	defer cancel()
	_, err := d.caller(v, d.declared.Keys[workspace]).Execute(ctx, client.Statement{
		Database:   database,
		Command:    "put",
		Arguments:  []string{key, value},
		Write:      true,
		Idempotent: true,
	})
	return err
}

// controlResult is what a run of the operators' command line gave.
type controlResult struct {
	code   int
	stdout string
	stderr string
}

// control runs amaranthctl with the proxies in the order of the VMs.
func (d *deployment) control(args ...string) controlResult {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	programs, err := controlPrograms()
	Expect(err).NotTo(HaveOccurred())
	command := exec.CommandContext(ctx, filepath.Join(programs, "amaranthctl"), append(d.AmaranthctlFlags(), args...)...)
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	err = command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		Expect(err).NotTo(HaveOccurred())
	}
	return controlResult{
		code:   command.ProcessState.ExitCode(),
		stdout: stdout.String(),
		stderr: stderr.String(),
	}
}

// mustControl runs amaranthctl, which must report that it is done.
func (d *deployment) mustControl(args ...string) string {
	GinkgoHelper()
	result := d.control(args...)
	Expect(result.code).To(BeZero(), "amaranthctl %v: %s", args, result.stderr)
	return result.stdout
}

// storeFaults posts to the administration of the stand-in store.
func (d *deployment) storeFaults(update string) {
	GinkgoHelper()
	Expect(d.PostToPlatform(context.Background(), "/admin/faults", []byte(update))).To(Succeed())
}

// ranStatement is a statement that a member ran.
type ranStatement struct {
	Workspace string   `json:"workspace"`
	RequestID string   `json:"requestId"`
	Command   string   `json:"command"`
	Arguments []string `json:"arguments"`
}

// statements returns what a member ran.
func (d *deployment) statements(m *harness.Member) []ranStatement {
	GinkgoHelper()
	var statements []ranStatement
	d.getJSON(d.MemberURL(m)+"/statements", &statements)
	return statements
}

// allStatements returns what all members ran.
func (d *deployment) allStatements() []ranStatement {
	GinkgoHelper()
	var all []ranStatement
	for _, m := range d.Members {
		all = append(all, d.statements(m)...)
	}
	return all
}

func (d *deployment) getJSON(url string, target any) {
	GinkgoHelper()
	response, err := d.http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK), url)
	Expect(json.NewDecoder(response.Body).Decode(target)).To(Succeed())
}

// logs returns the logs of the members of a database.
func (d *deployment) logs(database string) []*workload.MemberLog {
	GinkgoHelper()
	var logs []*workload.MemberLog
	for _, m := range d.MembersOf(database) {
		log, err := workload.FetchLog(d.http, d.MemberURL(m))
		Expect(err).NotTo(HaveOccurred())
		logs = append(logs, log)
	}
	return logs
}

// primary returns the member that leads a database in the highest term.
func (d *deployment) primary(database string) *harness.Member {
	GinkgoHelper()
	var primary *harness.Member
	term := uint64(0)
	for i, log := range d.logs(database) {
		if log.IsPrimary && log.FencedTerm >= term {
			primary = d.MembersOf(database)[i]
			term = log.FencedTerm
		}
	}
	Expect(primary).NotTo(BeNil(), "%s has no primary", database)
	return primary
}

// proxyDump is the part of a proxy's dump that the specs read.
type proxyDump struct {
	Gossip struct {
		Authorized           bool   `json:"authorized"`
		ConfigurationVersion uint64 `json:"configurationVersion"`
		PresetInForce        string `json:"presetInForce"`
		Ready                bool   `json:"ready"`
	} `json:"gossip"`
	Endpoint struct {
		Transactions []struct {
			Workspace string `json:"workspace"`
		} `json:"transactions"`
	} `json:"endpoint"`
	Lending struct {
		Subjects []struct {
			Name       string `json:"name"`
			Millionths int64  `json:"millionths"`
			Tokens     int64  `json:"tokens"`
		} `json:"subjects"`
	} `json:"lending"`
}

// tryDump returns the dump of a proxy, or an error if it does not answer.
func (d *deployment) tryDump(v *harness.VM) (*proxyDump, error) {
	response, err := d.http.Get("http://" + v.Observe.String() + "/dump")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	whole := struct {
		Parts proxyDump `json:"parts"`
	}{}
	return &whole.Parts, json.NewDecoder(response.Body).Decode(&whole)
}

func pause(d time.Duration) {
	GinkgoHelper()
	Expect(timer.Sleep(context.Background(), clock, d)).To(Succeed())
}
