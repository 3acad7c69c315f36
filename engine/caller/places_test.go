package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

// place moves endpoints of the fixture to other data centres.
func (f *fixture) place(dataCentres map[string]string) {
	moved := endpoints(f.view.Endpoints().Revision+1, "p")
	for id, dataCentre := range dataCentres {
		e := moved.ByID[id]
		e.DataCentre = dataCentre
		moved.ByID[id] = e
	}
	f.view.AcceptEndpoints(moved, "test")
}

// evacuate evacuates data centres. Other VMs have known of it for the given age.
func (f *fixture) evacuate(age time.Duration, names ...string) {
	ages := map[string]time.Duration{}
	for _, name := range names {
		ages[name] = age
	}
	f.view.AcceptEvacuations(1, ages, "test")
}

// expectImmediate expects that a statement gets its response without waiting for a primary.
func expectImmediate(run func() statement.Response) statement.Response {
	GinkgoHelper()
	began := time.Now()
	response := run()
	Expect(time.Since(began)).To(BeNumerically("<", 30*time.Millisecond))
	return response
}

var _ = Describe("statements and evacuated data centres", func() {
	var f *fixture
	read := func(host string) statement.Response { return do(f.open(host), statement.Read{}, "READ a") }
	write := func() statement.Response { return do(f.open("strict"), statement.Write{}, "WRITE a b") }

	BeforeEach(func() {
		f = newFixture().start()
		f.place(map[string]string{
			"p":  "a2",
			"r1": "a2",
		})
		f.acceptSample(90)
	})

	It("run elsewhere from the moment this VM knows of the evacuation", func() {
		f.evacuate(0, "a2")
		expectServed(read("bounded"), statement.Idle)
		Expect(f.fleet.lastRun().Endpoint).To(Equal("r2"))
		expectServed(write(), statement.Idle)
		Expect(f.fleet.lastRun().Endpoint).To(Equal("p"))
	})

	It("wait for the successor if they are reads that need the primary", func() {
		f.evacuate(0, "a2")
		go func() {
			time.Sleep(50 * time.Millisecond)
			promoted := endpoints(f.view.Endpoints().Revision+1, "r2")
			f.view.AcceptEndpoints(promoted, "test")
		}()
		expectServed(read("strict"), statement.Idle)
		Expect(f.fleet.steps()).To(Equal([]string{"r2 READ a"}))
	})

	It("are refused at once after the limit if only the primary can run them", func() {
		// Guards against writes that reach the data centre after the limit, and against
		// statements that are held although they can't be served.
		f.evacuate(evacuationLimit, "a2")
		for _, run := range []func() statement.Response{write, func() statement.Response { return read("strict") }} {
			response := expectImmediate(run)
			expectRefused(response, refusal.NotRun, refusal.DataCentreEvacuated, statement.Idle)
			Expect(response.Refused.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("are refused at once if all endpoints are evacuated", func() {
		f.evacuate(0, "a1", "a2")
		expectRefused(expectImmediate(func() statement.Response { return read("bounded") }), refusal.NotRun, refusal.DataCentreEvacuated, statement.Idle)
		expectRefused(expectImmediate(func() statement.Response { return read("strict") }), refusal.NotRun, refusal.DataCentreEvacuated, statement.Idle)
		expectServed(write(), statement.Idle)
		time.Sleep(evacuationLimit - evacuation.Margin)
		expectRefused(expectImmediate(write), refusal.NotRun, refusal.DataCentreEvacuated, statement.Idle)
	})

	It("run at another endpoint if the home learned of the evacuation first", func() {
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.DataCentreEvacuated, "evacuated"), "p", "r1")
		f.place(map[string]string{
			"p":  "a1",
			"r1": "a1",
			"r2": "b1",
		})
		expectServed(read("bounded"), statement.Idle)
		Expect(f.fleet.lastRun().Endpoint).To(Equal("r2"))
		expectRefused(write(), refusal.NotRun, refusal.DataCentreEvacuated, statement.Idle)
	})

	It("cause no position samples there after the limit", func() {
		f.evacuate(evacuationLimit, "a2")
		f.acceptSample(90)
		// The sample is still recent enough, but due for a newer one.
		time.Sleep(600 * time.Millisecond)
		expectServed(read("bounded"), statement.Idle)
		time.Sleep(500 * time.Millisecond)
		expectRefused(expectImmediate(func() statement.Response { return read("bounded") }), refusal.NotRun, refusal.DataCentreEvacuated, statement.Idle)
		Consistently(func() int {
			f.fleet.mu.Lock()
			defer f.fleet.mu.Unlock()
			return len(f.fleet.runs)
		}, 50*time.Millisecond).Should(Equal(1))
	})
})

var _ = Describe("statements that are restricted to regions", func() {
	var f *fixture
	version := uint64(1)

	// restrict sets the regions of all routes and of the workspace.
	restrict := func(route, workspace catalog.Regions) {
		version++
		c := configuration(version, map[string]string{"key": "ws"})
		for host, r := range c.Routes {
			r.Regions = route
			c.Routes[host] = r
		}
		c.Workspaces["ws"] = catalog.Workspace{
			Name:    "ws",
			Regions: workspace,
		}
		f.view.AcceptConfiguration(c, "test")
	}
	read := func() statement.Response { return do(f.open("bounded"), statement.Read{}, "READ a") }
	write := func() statement.Response { return do(f.open("strict"), statement.Write{}, "WRITE a b") }

	BeforeEach(func() {
		f = newFixture().start()
		f.place(map[string]string{
			"p":  "b1",
			"r1": "b1",
		})
		f.acceptSample(90)
	})

	It("run only at endpoints there, also if a nearer one exists", func() {
		restrict("b", "")
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.ReplicaBehind, "behind"), "r1")
		expectServed(read(), statement.Idle)
		Expect(f.fleet.steps()).To(Equal([]string{"r1 READ a", "p READ a"}))
		Expect(f.fleet.lastRun().Regions).To(Equal(catalog.Regions("b")))
	})

	It("are refused at once if only the primary could run them and it is elsewhere", func() {
		restrict("", "a")
		expectRefused(expectImmediate(write), refusal.NotRun, refusal.RegionNotAllowed, statement.Idle)
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.ReplicaBehind, "behind"), "r2")
		expectRefused(expectImmediate(read), refusal.NotRun, refusal.RegionNotAllowed, statement.Idle)
		Expect(f.fleet.steps()).To(Equal([]string{"r2 READ a"}))
	})

	It("are refused if the route and the workspace have no region in common", func() {
		restrict("a", "b")
		expectRefused(expectImmediate(read), refusal.NotRun, refusal.RegionNotAllowed, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("pass only through homes there and through the VM of the caller", func() {
		// Guards against a text that is sent to a VM outside of the allowed regions.
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 2,
			ByName: map[string]catalog.VM{
				"self": f.view.Self(),
				"vm-b": {
					Name:       "vm-b",
					DataCentre: "b1",
					Region:     "b",
				},
				"vm-a": {
					Name:       "vm-a",
					DataCentre: "a2",
					Region:     "a",
				},
			},
		}, "test")
		var homes []string
		f.fleet.respond = func(vm string, r *peer.RunRequest) (*peer.RunResponse, error) {
			if r.Step == peer.StepPosition {
				return nil, nil
			}
			homes = append(homes, vm)
			return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.NotReady, "unknown endpoint")}, nil
		}
		restrict("b", "")
		write()
		Expect(homes[:2]).To(Equal([]string{"vm-b", "self"}))
		Expect(homes).NotTo(ContainElement("vm-a"))
	})

	It("keep their regions until the end of a running transaction", func() {
		s := f.open("strict")
		do(s, statement.Begin{}, "BEGIN")
		expectServed(do(s, statement.Write{}, "WRITE a b"), statement.InTransaction)
		restrict("a", "")
		expectServed(do(s, statement.Write{}, "WRITE c d"), statement.InTransaction)
		expectServed(do(s, statement.Commit{}, "COMMIT"), statement.Idle)
		expectRefused(do(s, statement.Write{}, "WRITE e f"), refusal.NotRun, refusal.RegionNotAllowed, statement.Idle)
	})
})
