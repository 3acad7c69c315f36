package data_test

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
)

const (
	// explainRounds is how often each kind of request is explained at each VM.
	explainRounds = 2
	// connectedTime is how long a home takes at most to open connections in advance.
	connectedTime = 2 * time.Second
)

// explained is the output of amaranthctl route explain.
type explained struct {
	VM         string `json:"vm"`
	Endpoint   string `json:"endpoint"`
	Home       string `json:"home"`
	Candidates []struct {
		Endpoint     string `json:"endpoint"`
		Role         string `json:"role"`
		Reason       string `json:"reason"`
		Home         string `json:"home"`
		HomeAnswered bool   `json:"homeAnswered"`
		Slots        int    `json:"slots"`
	} `json:"candidates"`
	Refusal *struct {
		Reason string `json:"reason"`
	} `json:"refusal"`
	UnansweredVMs []string `json:"unansweredVms"`
}

// explainRoute explains a request of a kind at a VM.
func (d *deployment) explainRoute(ctx context.Context, v *harness.VM, kind string, flags ...string) explained {
	GinkgoHelper()
	arguments := []string{"--output", "json", "route", "explain", "--database", d.database, "--workspace", d.workspace, "--kind", kind, "--vm", v.Name}
	output, err := d.RunAmaranthctl(ctx, append(arguments, flags...)...)
	Expect(err).NotTo(HaveOccurred())
	var e explained
	Expect(json.Unmarshal([]byte(output), &e)).To(Succeed())
	Expect(e.VM).To(Equal(v.Name))
	return e
}

// memberUse is the number of connections that were opened to a member and of statements
// that it executed.
type memberUse struct {
	connections, statements int
}

func (d *deployment) memberUses() map[string]memberUse {
	GinkgoHelper()
	uses := map[string]memberUse{}
	for _, m := range d.Members {
		var opened struct {
			Opened int `json:"opened"`
		}
		var statements []json.RawMessage
		d.getHook(m, "/connections", &opened)
		d.getHook(m, "/statements", &statements)
		uses[m.Endpoint] = memberUse{
			connections: opened.Opened,
			statements:  len(statements),
		}
	}
	return uses
}

// getHook decodes the response of a test hook of a member.
func (d *deployment) getHook(m *harness.Member, path string, value any) {
	GinkgoHelper()
	response, err := d.hookClient.Get(d.MemberURL(m) + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	Expect(json.NewDecoder(response.Body).Decode(value)).To(Succeed())
}

// expectReasons checks that there is a reason against each endpoint but the chosen one.
func (e explained) expectReasons() {
	GinkgoHelper()
	Expect(e.Refusal).To(BeNil())
	Expect(e.Candidates).To(HaveLen(harness.MembersPerDatabase))
	for _, c := range e.Candidates {
		Expect(c.Reason == "").To(Equal(c.Endpoint == e.Endpoint), "reason %q against %s", c.Reason, c.Endpoint)
		if c.HomeAnswered {
			Expect(c.Slots).To(BeNumerically(">", 0))
		}
	}
}

var _ = Describe("Explanations of routes", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 57, singleDatabaseSpec())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	It("name the endpoint that serves the request, and reach no endpoint", func(ctx SpecContext) {
		// Guards against explanations that differ from the route of a request, send a
		// statement or open a connection.
		d.sleep(ctx, connectedTime)
		before := d.memberUses()
		explanations := map[string]explained{}
		for range explainRounds {
			for _, v := range d.VMs {
				for _, kind := range []string{"write", "transaction"} {
					e := d.explainRoute(ctx, v, kind)
					e.expectReasons()
					Expect(e.UnansweredVMs).To(BeEmpty())
					explanations[v.Name] = e
				}
				d.explainRoute(ctx, v, "read").expectReasons()
				d.explainRoute(ctx, v, "read", "--position", "1.1", "--max-age", "1h").expectReasons()
			}
		}
		Expect(d.memberUses()).To(Equal(before))
		for _, v := range d.VMs {
			result, err := d.client(v, nil).Execute(ctx, client.Statement{
				Database:  d.database,
				Command:   "put",
				Arguments: []string{"explained/" + v.Name, "yes"},
				Write:     true,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(explanations[v.Name].Endpoint).To(Equal(result.Endpoint))
		}
	})

	It("name a home that does not answer, and describe the other endpoints", func(ctx SpecContext) {
		// Guards against an explanation that fails because of one VM. Other VMs still
		// reach this one, so that it stays a home.
		entry, home := d.remoteHome(ctx)
		d.Network.Partition(entry.Name, home)
		e := d.explainRoute(ctx, entry, "write")
		d.Network.Heal()
		Expect(e.UnansweredVMs).To(ContainElement(home))
		for _, c := range e.Candidates {
			Expect(c.HomeAnswered).To(Equal(c.Home != home), "home %s of %s", c.Home, c.Endpoint)
		}
		d.restore(ctx)
	})
})

// remoteHome returns a VM and another one that is the home of an endpoint.
func (d *deployment) remoteHome(ctx context.Context) (entry *harness.VM, home string) {
	GinkgoHelper()
	for _, v := range d.VMs {
		for _, c := range d.explainRoute(ctx, v, "write").Candidates {
			if c.Home != v.Name {
				return v, c.Home
			}
		}
	}
	Fail("no endpoint has its home at another VM")
	return nil, ""
}
