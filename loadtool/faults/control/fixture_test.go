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
	// requestTimeout is the timeout of a request, and the deadline that it carries to
	// the proxies.
	requestTimeout = 5 * time.Second
	// seed of all random sources.
	seed = 1
)

var clock = timer.NewSystem()

// buildPrograms builds the programs once and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
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

// deployment is a running deployment that serves requests.
type deployment struct {
	*harness.Deployment
	declared   *harness.Declaration
	httpClient *http.Client
	spec       harness.Spec
	workDir    string
}

// startDeployment starts a deployment for the specs of one container and waits until
// it serves requests. The two functions change its configuration and its declaration.
func startDeployment(subnet byte, configure func(*harness.Config), declare func(*harness.Declaration)) *deployment {
	GinkgoHelper()
	programs, err := buildPrograms()
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
		httpClient: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 256,
			},
		},
		spec:    config.Spec,
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
		for _, database := range d.spec.Databases {
			Eventually(func() error {
				return d.put(v, d.spec.Workspaces[0].Name, database, "ready/"+v.Name, "yes")
			}, 20*time.Second, 20*time.Millisecond).Should(Succeed())
		}
	}
	Eventually(func(g Gomega) {
		totalShares, _ := d.shares()
		g.Expect(totalShares).To(HaveLen(len(d.declared.Document.Workspaces) + len(d.declared.Document.Routes)))
		for subject, millionths := range totalShares {
			g.Expect(millionths).To(BeEquivalentTo(1_000_000), subject)
		}
	}, 20*time.Second, 100*time.Millisecond).Should(Succeed())
	// Buckets start empty.
	sleep(time.Second)
	return d
}

// shares returns, for each subject, the sum of the shares of the live VMs in
// millionths, and the tokens in the bucket of each VM.
func (d *deployment) shares() (totalShares map[string]int64, tokens map[string][]int64) {
	GinkgoHelper()
	totalShares = map[string]int64{}
	tokens = map[string][]int64{}
	for _, v := range d.LiveVMs() {
		dump, err := d.fetchDump(v)
		Expect(err).NotTo(HaveOccurred())
		for _, s := range dump.Lending.Subjects {
			totalShares[s.Name] += s.Millionths
			tokens[s.Name] = append(tokens[s.Name], s.Tokens)
		}
	}
	return totalShares, tokens
}

func defaultConfig(*harness.Config) {}

// withoutLimits sets rate limits that no spec reaches, for specs that do not test
// them.
func withoutLimits(declared *harness.Declaration) {
	const plenty = 5000
	for i := range declared.Document.Workspaces {
		declared.Document.Workspaces[i].Rate = plenty
		declared.Document.Workspaces[i].Burst = plenty
	}
	declared.Document.Routes[0].Rate = plenty
	declared.Document.Routes[0].Burst = plenty
}

func defaultDeclaration(*harness.Declaration) {}

// newClient returns a client with its own session that sends its requests to a VM.
func (d *deployment) newClient(v *harness.VM, key string) *client.Client {
	GinkgoHelper()
	c, err := client.New(client.Config{
		BaseURL:    "http://" + v.Caller.String(),
		HTTPClient: d.httpClient,
		Key:        key,
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

func (d *deployment) put(v *harness.VM, workspace, database, key, value string) error {
	ctx, cancel := timer.WithTimeout(context.Background(), clock, requestTimeout)
	defer cancel()
	_, err := d.newClient(v, d.declared.Keys[workspace]).Execute(ctx, client.Statement{
		Database:   database,
		Command:    "put",
		Arguments:  []string{key, value},
		Write:      true,
		Idempotent: true,
	})
	return err
}

// commandResult is the result of a run of amaranthctl.
type commandResult struct {
	code   int
	stdout string
	stderr string
}

// runAmaranthctl runs amaranthctl with all proxies, in the order of the VMs.
func (d *deployment) runAmaranthctl(args ...string) commandResult {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	programs, err := buildPrograms()
	Expect(err).NotTo(HaveOccurred())
	command := exec.CommandContext(ctx, filepath.Join(programs, "amaranthctl"), append(d.AmaranthctlFlags(), args...)...)
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	err = command.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		Expect(err).NotTo(HaveOccurred())
	}
	return commandResult{
		code:   command.ProcessState.ExitCode(),
		stdout: stdout.String(),
		stderr: stderr.String(),
	}
}

// mustRunAmaranthctl runs amaranthctl, which must succeed, and returns its output.
func (d *deployment) mustRunAmaranthctl(args ...string) string {
	GinkgoHelper()
	result := d.runAmaranthctl(args...)
	Expect(result.code).To(BeZero(), "amaranthctl %v: %s", args, result.stderr)
	return result.stdout
}

// setStoreFaults changes the faults that the stand-in store simulates.
func (d *deployment) setStoreFaults(update string) {
	GinkgoHelper()
	Expect(d.PostToPlatform(context.Background(), "/admin/faults", []byte(update))).To(Succeed())
}

// executedStatement is a statement that a member executed.
type executedStatement struct {
	Workspace string   `json:"workspace"`
	RequestID string   `json:"requestId"`
	Command   string   `json:"command"`
	Arguments []string `json:"arguments"`
}

// executedStatements returns the statements that a member executed.
func (d *deployment) executedStatements(m *harness.Member) []executedStatement {
	GinkgoHelper()
	var statements []executedStatement
	d.getJSON(d.MemberURL(m)+"/statements", &statements)
	return statements
}

// allExecutedStatements returns the statements that all members executed.
func (d *deployment) allExecutedStatements() []executedStatement {
	GinkgoHelper()
	var all []executedStatement
	for _, m := range d.Members {
		all = append(all, d.executedStatements(m)...)
	}
	return all
}

func (d *deployment) getJSON(url string, target any) {
	GinkgoHelper()
	response, err := d.httpClient.Get(url)
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
		log, err := workload.FetchLog(d.httpClient, d.MemberURL(m))
		Expect(err).NotTo(HaveOccurred())
		logs = append(logs, log)
	}
	return logs
}

// primary returns the primary of a database with the highest term.
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

// proxyDump holds those fields of a proxy's dump that the specs read.
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

// fetchDump returns the dump of a proxy, or an error if it does not respond.
func (d *deployment) fetchDump(v *harness.VM) (*proxyDump, error) {
	response, err := d.httpClient.Get("http://" + v.Observe.String() + "/dump")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body := struct {
		Parts proxyDump `json:"parts"`
	}{}
	return &body.Parts, json.NewDecoder(response.Body).Decode(&body)
}

func sleep(d time.Duration) {
	GinkgoHelper()
	Expect(timer.Sleep(context.Background(), clock, d)).To(Succeed())
}
