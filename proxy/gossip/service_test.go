package gossip

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// These are plain Go tests instead of Ginkgo specs, because the simulation runs in a
// bubble of testing/synctest, which waits until all goroutines are blocked.

// seeds is the number of random probe orders with which the timing tests run.
const seeds = 20

// maxDetectionTime is the sum of two probe intervals until some VM probes the failed VM,
// the direct and the indirect probe timeout, the suspicion timeout and one round of
// gossip, including delays of up to one tick.
const maxDetectionTime = 1750 * time.Millisecond

// runningExcept returns the running nodes except one.
func (f *fleet) runningExcept(except *node) []*node {
	var nodes []*node
	for _, n := range f.nodes {
		if n != except && n.running() != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// all returns a function that reports whether a condition is true on all nodes.
func all(nodes []*node, condition func(*node) bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !condition(n) {
				return false
			}
		}
		return true
	}
}

func seesLive(vm string, live bool) func(*node) bool {
	return func(n *node) bool {
		for _, v := range n.Live() {
			if v.Name == vm {
				return live
			}
		}
		return !live
	}
}

func authorized(n *node) bool   { return n.Authorized() }
func unauthorized(n *node) bool { return !n.Authorized() }
func ready(n *node) bool        { return n.Ready() }

func liveCount(count int) func(*node) bool {
	return func(n *node) bool { return len(n.Live()) == count }
}

func hasVersion(version uint64) func(*node) bool {
	return func(n *node) bool { return n.Current() != nil && n.Current().Version() == version }
}

// watcher returns a node of the store's region that watches the store.
func (f *fleet) watcher() *node {
	for _, n := range f.nodesIn("a") {
		if n.isWatcher() {
			return n
		}
	}
	f.t.Fatal("no watcher in the store's region")
	return nil
}

// TestNoFaults guards against suspecting VMs that respond, and against an authority age
// close to the limit.
func TestNoFaults(t *testing.T) {
	simulate(t, 7, func(f *fleet) {
		g := NewWithT(t)
		for _, n := range f.nodes {
			n.start(1)
		}
		elapsed := f.advanceUntil(time.Second, all(f.nodes, ready))
		f.advanceUntil(2*time.Second, all(f.nodes, authorized))
		var maxAge time.Duration
		for range 600 {
			f.advance(time.Second / 2)
			for _, n := range f.nodes {
				maxAge = max(maxAge, n.AuthorityAge())
				g.Expect(n.Live()).To(HaveLen(7))
			}
		}
		for _, n := range f.nodes {
			g.Expect(n.table.Self().Sequence).To(BeZero(), "VM %s refuted a suspicion", n.vm.Name)
		}
		g.Expect(maxAge).To(BeNumerically("<", 3*time.Second))
		t.Logf("ready after %s; highest authority age in 5 minutes: %s", elapsed, maxAge)
	})
}

// TestDetection guards against slow failure detection, lost refutations, and restarted
// processes that are mistaken for their predecessors.
func TestDetection(t *testing.T) {
	faults := map[string]struct {
		fault, repair func(n *node)
		incarnation   uint64
	}{
		"killed":  {fault: (*node).stop, repair: func(n *node) { n.start(2) }, incarnation: 2},
		"frozen":  {fault: (*node).freeze, repair: (*node).unfreeze, incarnation: 1},
		"cut off": {fault: func(n *node) { n.fleet.isolate(n) }, repair: func(n *node) { n.fleet.unblockAll() }, incarnation: 1},
	}
	for name, c := range faults {
		t.Run(name, func(t *testing.T) {
			var detected, recovered time.Duration
			for seed := range uint64(seeds) {
				simulate(t, 7, func(f *fleet) {
					f.seed = seed * 100
					f.startAll()
					victim := f.nodes[5]
					others := f.runningExcept(victim)
					c.fault(victim)
					detected = max(detected, f.advanceUntil(maxDetectionTime, all(others, seesLive(victim.vm.Name, false))))
					f.advance(10 * time.Second)
					c.repair(victim)
					recovered = max(recovered, f.advanceUntil(3*time.Second, all(f.nodes, liveCount(7))))
					for _, n := range others {
						incarnation, ok := n.Incarnation(victim.vm.Name)
						NewWithT(t).Expect([]any{incarnation, ok}).To(Equal([]any{c.incarnation, true}))
					}
					f.advanceUntil(4*time.Second, all(f.nodes, authorized))
				})
			}
			t.Logf("at most: failure detected by all after %s, recovery seen by all after %s", detected, recovered)
		})
	}
}

// TestQuickRestart guards against a previous incarnation that hides the new one.
func TestQuickRestart(t *testing.T) {
	simulate(t, 7, func(f *fleet) {
		f.startAll()
		f.nodes[2].stop()
		f.advance(50 * time.Millisecond)
		f.nodes[2].start(2)
		elapsed := f.advanceUntil(2*time.Second, all(f.nodes, func(n *node) bool {
			incarnation, _ := n.Incarnation("vm-002")
			return incarnation == 2
		}))
		f.advanceUntil(time.Second, all(f.nodes, liveCount(7)))
		t.Logf("new incarnation known to all after %s", elapsed)
	})
}

// TestPartialCuts guards against declaring a VM dead that some VMs can still reach.
func TestPartialCuts(t *testing.T) {
	faults := map[string]func(f *fleet){
		"one way":    func(f *fleet) { f.blockPath("vm-000", "vm-004", false) },
		"both ways":  func(f *fleet) { f.blockPath("vm-000", "vm-004", true) },
		"some loss":  func(f *fleet) { f.loss = 0.02 },
		"store lost": func(f *fleet) { f.blockPath(storeName, "vm-000", false) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, 7, func(f *fleet) {
				f.startAll()
				fault(f)
				for range 60 {
					f.advance(time.Second)
					if !all(f.nodes, liveCount(7))() || !all(f.nodes, authorized)() {
						t.Fatal("a VM is considered dead or is no longer authorized")
					}
				}
				f.store.put(2)
				f.advanceUntil(2*time.Second, all(f.nodes, hasVersion(2)))
			})
		})
	}
}

// TestRegionCut tests guarantee G6: a region that cannot learn of a revoked key stops
// serving requests.
func TestRegionCut(t *testing.T) {
	var lost, recovered time.Duration
	for seed := range uint64(seeds) {
		simulate(t, 7, func(f *fleet) {
			f.seed = seed * 100
			f.startAll()
			f.isolate(f.nodesIn("b")...)
			lost = max(lost, f.advanceUntil(4200*time.Millisecond, all(f.nodesIn("b"), unauthorized)))
			f.store.put(2)
			for range 20 {
				f.advance(time.Second)
				if !all(f.nodesIn("a"), authorized)() || !all(f.nodesIn("b"), unauthorized)() {
					t.Fatal("unexpected authorization while the region is partitioned")
				}
			}
			f.unblockAll()
			recovered = max(recovered, f.advanceUntil(3*time.Second, all(f.nodes, authorized)))
			f.advanceUntil(3*time.Second, all(f.nodes, liveCount(7)))
			f.advanceUntil(time.Second, all(f.nodes, hasVersion(2)))
		})
	}
	t.Logf("at most: authorization lost after %s, regained after %s", lost, recovered)
}

// TestStoreOutage guards against VMs that stop serving during a store outage, when the
// configuration cannot change, and against a VM that starts without the newest
// configuration.
func TestStoreOutage(t *testing.T) {
	simulate(t, 7, func(f *fleet) {
		f.startAll()
		f.nodes[6].stop()
		f.store.put(2)
		f.advance(time.Second)
		f.store.update(func(s *fakeStore) { s.unavailable = true })
		running := f.runningExcept(nil)
		for i := range 120 {
			f.advance(time.Second)
			if i == 40 {
				f.watcher().stop()
				running = f.runningExcept(nil)
			}
			if !all(running, authorized)() {
				t.Fatalf("authorization lost %d s into the outage", i)
			}
		}
		f.nodes[6].start(2)
		elapsed := f.advanceUntil(2*time.Second, f.nodes[6].Ready)
		NewWithT(t).Expect(f.nodes[6].Current().Version()).To(BeEquivalentTo(2))
		f.store.update(func(s *fakeStore) { s.unavailable = false })
		f.store.put(3)
		recovered := f.advanceUntil(3*time.Second, all(running, hasVersion(3)))
		t.Logf("a starting VM is ready after %s; a change after the outage took %s", elapsed, recovered)
	})
}

// TestStartWithNothing guards against a VM that is ready without a configuration.
func TestStartWithNothing(t *testing.T) {
	simulate(t, 7, func(f *fleet) {
		f.store.unavailable = true
		f.startAll()
		f.advance(20 * time.Second)
		for _, n := range f.nodes {
			NewWithT(t).Expect([]bool{n.Ready(), n.Authorized()}).To(Equal([]bool{false, false}))
		}
		f.store.update(func(s *fakeStore) { s.unavailable = false })
		f.advanceUntil(3*time.Second, all(f.nodes, ready))
	})
}

// TestWatcherCutFromStore guards against a single partitioned watcher that mistakes its
// lost connection for a store outage.
func TestWatcherCutFromStore(t *testing.T) {
	simulate(t, 7, func(f *fleet) {
		f.startAll()
		isolated := f.watcher()
		f.blockPath(isolated.vm.Name, storeName, true)
		f.advance(5 * time.Second)
		f.store.put(2)
		elapsed := f.advanceUntil(2*time.Second, all(f.nodes, hasVersion(2)))
		f.advanceUntil(time.Second, all(f.nodes, authorized))
		f.isolate(isolated)
		lost := f.advanceUntil(4200*time.Millisecond, all([]*node{isolated}, unauthorized))
		for range 60 {
			f.advance(time.Second)
			if isolated.Authorized() || !all(f.runningExcept(isolated), authorized)() {
				t.Fatal("unexpected authorization while the watcher is isolated")
			}
		}
		t.Logf("change took %s; an isolated watcher lost its authorization after %s", elapsed, lost)
	})
}

// TestStoreFaults guards against versions that revert, get lost or arrive late.
func TestStoreFaults(t *testing.T) {
	faults := map[string]func(f *fleet){
		"none": func(*fleet) {},
		"slow": func(f *fleet) { f.store.update(func(s *fakeStore) { s.delay = 300 * time.Millisecond }) },
		"stale": func(f *fleet) {
			old := f.store.current
			f.store.put(2)
			f.advance(2 * time.Second)
			f.store.update(func(s *fakeStore) { s.staleEntries = append(s.staleEntries, old, old, old, old, old) })
		},
		"answers lost": func(f *fleet) { f.loss = 0.1 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, 7, func(f *fleet) {
				f.startAll()
				fault(f)
				changes, cancel := f.nodes[6].Subscribe()
				defer cancel()
				f.advance(5 * time.Second)
				f.store.put(3)
				elapsed := f.advanceUntil(2*time.Second, all(f.nodes, hasVersion(3)))
				NewWithT(t).Expect(changes).To(Receive())
				NewWithT(t).Expect(changes).NotTo(Receive())
				f.advance(5 * time.Second)
				t.Logf("version 3 reached all after %s", elapsed)
			})
		})
	}
}

// TestLeave tests guarantee G11, and guards against VMs that remain in the member table
// after the platform's VM list no longer contains them.
func TestLeave(t *testing.T) {
	simulate(t, 7, func(f *fleet) {
		f.startAll()
		f.store.update(func(s *fakeStore) { s.leaving["vm-005"] = true })
		f.advanceUntil(3*time.Second, all(f.nodes, seesLive("vm-005", false)))
		NewWithT(t).Expect(f.nodes[5].Leaving()).To(BeClosed())
		left := make(chan error, 1)
		go func() { left <- f.nodes[6].AnnounceLeaving(context.Background()) }()
		f.advanceUntil(2*time.Second, all(f.nodes, seesLive("vm-006", false)))
		NewWithT(t).Expect(left).To(Receive(BeNil()))
		f.nodes[5].stop()
		f.store.update(func(s *fakeStore) { s.unlisted["vm-005"] = true })
		f.advanceUntil(3*time.Second, func() bool {
			_, ok := f.watcher().Address("vm-005")
			return !ok
		})
	})
}

// TestCost guards against traffic per VM that grows with the size of the fleet.
func TestCost(t *testing.T) {
	for _, size := range []int{7, 14, 28, 56, 200} {
		if testing.Short() && size > 28 {
			continue
		}
		simulate(t, size, func(f *fleet) {
			f.startAll()
			f.advanceUntil(20*time.Second, all(f.nodes, liveCount(size)))
			// The updates caused by the joins are sent for tens of seconds.
			f.advance(time.Minute)
			f.messages, f.bytes = 0, 0
			const seconds = 5
			f.advance(seconds * time.Second)
			messages := float64(f.messages) / seconds / float64(size)
			bytes := float64(f.bytes) / seconds / float64(size)
			var maxAge time.Duration
			for _, n := range f.nodes {
				maxAge = max(maxAge, n.AuthorityAge())
			}
			f.store.put(2)
			elapsed := f.advanceUntil(2*time.Second, all(f.nodes, hasVersion(2)))
			NewWithT(t).Expect(messages).To(BeNumerically("<", 25))
			NewWithT(t).Expect(bytes).To(BeNumerically("<", 8000))
			t.Logf("%3d VMs: %.1f messages/s and %.0f B/s per VM, authority age %s, new version after %s",
				size, messages, bytes, maxAge, elapsed)
		})
	}
}
