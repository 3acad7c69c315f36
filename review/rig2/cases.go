package main

import (
	"fmt"
	"math/rand"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	drainBound  = 7 * time.Second
	configBound = 4 * time.Second
	inZone      = 100 * time.Microsecond
	crossZone   = 900 * time.Microsecond
	crossRegion = 20 * time.Millisecond
)

// regions of the zones, as in a small deployment.
var regions = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"}

// vmZones are the zones of the processes.
var vmZones = []string{"east-a", "east-a", "east-b", "west-a", "west-a", "west-a", "west-a"}

func networkDelay(a, b string) time.Duration {
	switch {
	case a == b:
		return inZone
	case regions[a] == regions[b]:
		return crossZone
	default:
		return crossRegion
	}
}

var cases = map[string]func(program, dir string, running **fleet) int{
	"late-promotion": latePromotion,
	"drain":          drainWithoutSuccessor,
	"settings":       settingsChange,
	"restarts":       restarts,
}

type tenant struct {
	name        string
	keys        []string
	rate, burst int
}

// configuration returns a configuration with three routes for each group.
func configuration(version int, groups []*group, tenants []tenant) map[string]any {
	routes, services, owners := []map[string]any{}, []map[string]any{}, []map[string]any{}
	timeouts := map[string]int{"primary": 1000, "bounded_staleness": lookupTimeout, "read_your_writes": 1000}
	for _, g := range groups {
		services = append(services, map[string]any{"name": g.name, "health_path": "/health", "max_connections": maxConns, "sync_replicas": g.sync})
		for kind, timeout := range timeouts {
			routes = append(routes, map[string]any{"name": "r-" + g.name + "-" + kind, "host": g.name + "-" + kind, "prefix": "/", "route_type": kind, "timeout_ms": timeout,
				"target_latency_ms": 800, "priority": 1, "service": g.name, "max_attempts": 2, "max_staleness_ms": 1500, "public": false})
		}
	}
	for _, t := range tenants {
		owners = append(owners, map[string]any{"name": t.name, "api_keys": t.keys, "rate_per_s": t.rate, "burst": t.burst})
	}
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 3000}, "tenants": owners}
}

// lookupTimeout is the timeout_ms of the bounded routes.
const lookupTimeout = 4000

// deployment is what the cases share.
type deployment struct {
	store  *store
	cloud  *cloud
	groups []*group
	fleet  *fleet
	rec    *recorder
	stop   chan struct{}
	work   sync.WaitGroup
}

// deploy starts a deployment, and returns once it has run calmly for longer than contact_ms.
func deploy(program, dir string, running **fleet, st *store, cl *cloud, tenants []tenant, groups ...*group) *deployment {
	d := &deployment{
		store:  st,
		cloud:  cl,
		groups: groups,
		rec:    &recorder{},
		stop:   make(chan struct{}),
	}
	for _, g := range groups {
		cl.groups[g.name] = g
	}
	st.write("op/config", configuration(7, groups, tenants))
	d.fleet = newFleet(dir, program, regions, vmZones, st, cl)
	*running = d.fleet
	for _, v := range d.fleet.vms {
		v.start()
		go v.probe(d.stop)
	}
	if !d.fleet.awaitReady(15 * time.Second) {
		panic(cannotRun{"the processes are not ready"})
	}
	note("all processes are ready")
	time.Sleep(8 * time.Second)
	return d
}

// write runs a loop of single writes on a session, which reconnects, until the deployment stops.
func (d *deployment) write(v *vm, host, key string, pause time.Duration) {
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		for n := 0; ; {
			c, _ := dial(d.rec, v, host, key)
			for c != nil {
				n++
				a := c.do(fmt.Sprintf("WRITE %x v%s-%d-%d", rand.Intn(2000), v.name, c.number, n))
				if a.code == "CUT" {
					c.close()
					c = nil
				}
				select {
				case <-d.stop:
					return
				case <-time.After(pause/2 + time.Duration(rand.Int63n(int64(pause)))):
				}
			}
			select {
			case <-d.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
}

// end stops the consumers.
func (d *deployment) end() {
	close(d.stop)
	d.work.Wait()
}

// summary writes what was sent, answered and run into the record, and how the requests of consumers
// ended.
func (d *deployment) summary() {
	d.rec.mu.Lock()
	defer d.rec.mu.Unlock()
	codes := map[string]int{}
	record("requests of consumers: sent, answered, machine, session, database, id, text, answer")
	for _, a := range d.rec.answers {
		codes[a.code]++
		record("%s %s %s %d %s %s %q %s", stamp(a.sent), stamp(a.at), a.vm, a.session, a.host, a.id, a.text, a.code)
	}
	for _, g := range d.groups {
		g.mu.Lock()
		record("statements that members of %s ran: arrived, run, member, connection, transaction, tenant, id, text", g.name)
		for _, e := range g.executions {
			record("%s %s %s %d %d %s %s %q", stamp(e.arrived), stamp(e.at), e.member, e.connection, e.transaction, e.tenant, e.request, e.text)
		}
		g.mu.Unlock()
	}
	note("requests of consumers by their answers: %v", codes)
	for _, c := range d.fleet.crashes {
		note("ended by itself: %s", c)
	}
	if codes["OK"] == 0 {
		panic(cannotRun{"no request was served"})
	}
}

// latePromotion: a replica receives nothing for a while and the primary crashes meanwhile; the first
// promotion call gets no answer and is carried out late. With sync_replicas 1 an acknowledged commit
// has to be in the log of the member that is promoted.
func latePromotion(program, dir string, running **fleet) int {
	late := func(n int) time.Duration {
		if trouble && n == 1 {
			return 8 * time.Second
		}
		return 0
	}
	st := newStore()
	g := newGroup("ledger", st, 1, networkDelay, "east-a", "east-b", "west-a")
	tenants := []tenant{{
		name:  "farm",
		keys:  []string{"key-farm-1"},
		rate:  2000,
		burst: 2000,
	}}
	d := deploy(program, dir, running, st, newCloud(late), tenants, g)
	for _, v := range d.fleet.vms {
		for range 3 {
			d.write(v, "ledger-primary", "key-farm-1", 50*time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	primary, near := g.members[0], g.members[1]
	if trouble {
		note("%s receives nothing for 6 s", near.id)
		g.mu.Lock()
		near.deafUntil = time.Now().Add(6 * time.Second)
		g.mu.Unlock()
		time.Sleep(2 * time.Second)
		note("the primary %s crashes for 2 s", primary.id)
		primary.crash()
		time.Sleep(2 * time.Second)
		primary.start(primary.address)
		note("%s is back with its log", primary.id)
	}
	time.Sleep(14 * time.Second)
	d.end()
	d.summary()
	return d.checkLost(g)
}

// checkLost returns 1 if a commit that was acknowledged before a promotion took effect is not in the
// log of the member that was promoted.
func (d *deployment) checkLost(g *group) int {
	byRequest := map[string]*answer{}
	for _, a := range d.rec.answers {
		byRequest[a.id] = a
	}
	lost := 0
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.all {
		for _, w := range c.writes {
			a := byRequest[w.request]
			if a == nil || a.code != "OK" || c.rolledBackAt.IsZero() || !a.at.Before(c.rolledBackAt) {
				continue
			}
			lost++
			note("LOST: write %s at position %s was acknowledged at %s and cut off by the promotion at %s", w.request, c.position(), stamp(a.at), stamp(c.rolledBackAt))
		}
	}
	note("%d commits, %d promotions, %d acknowledged commits lost", len(g.all), len(g.promotions), lost)
	if lost > 0 {
		return 1
	}
	return 0
}

// transactions runs a loop of transactions with pauses between their statements, as handhelds and desks
// do that look several records up, until the deployment stops.
func (d *deployment) transactions(v *vm, host, key string) {
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		pause := func(base time.Duration) bool {
			select {
			case <-d.stop:
				return false
			case <-time.After(base/2 + time.Duration(rand.Int63n(int64(base)))):
				return true
			}
		}
		for {
			c, _ := dial(d.rec, v, host, key)
			for c != nil {
				statements := []string{"BEGIN", fmt.Sprintf("READ %x", rand.Intn(2000)), fmt.Sprintf("READ %x", rand.Intn(2000)), "COMMIT"}
				for i, text := range statements {
					a := c.do(text)
					if a.code == "CUT" {
						c.close()
						c = nil
						break
					}
					if a.code != "OK" {
						if text != "COMMIT" {
							c.do("ROLLBACK")
						}
						break
					}
					if i > 0 && !pause(time.Second) {
						return
					}
				}
				if !pause(100 * time.Millisecond) {
					return
				}
			}
			if !pause(200 * time.Millisecond) {
				return
			}
		}
	}()
}

// drainWithoutSuccessor: the only replica is lost for good, and later the primary reports draining
// before its planned shutdown, while transactions wait for a connection.
func drainWithoutSuccessor(program, dir string, running **fleet) int {
	st := newStore()
	g := newGroup("ledger", st, 0, networkDelay, "east-a", "east-b")
	tenants := []tenant{{
		name:  "farm",
		keys:  []string{"key-farm-1"},
		rate:  2000,
		burst: 2000,
	}}
	d := deploy(program, dir, running, st, newCloud(nil), tenants, g)
	for _, v := range d.fleet.vms {
		for range 18 {
			d.transactions(v, "ledger-bounded_staleness", "key-farm-1")
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		note("the replica %s is lost for good", g.members[1].id)
		g.members[1].crash()
	}
	time.Sleep(12 * time.Second)
	primary := g.members[0]
	acknowledged := primary.drain()
	note("the primary %s reports draining, acknowledged by the store", primary.id)
	time.Sleep(14 * time.Second)
	d.end()
	d.summary()
	return d.checkDrain(g, primary.id, acknowledged)
}

// restarts: all processes are killed at the same moment, three times within five seconds, while one
// tenant asks for more than its limit. The platform starts each process again after half a second.
func restarts(program, dir string, running **fleet) int {
	st := newStore()
	g := newGroup("ledger", st, 0, networkDelay, "east-a", "east-b", "west-a")
	hot := tenant{
		name:  "farm",
		keys:  []string{"key-farm-1"},
		rate:  200,
		burst: 400,
	}
	d := deploy(program, dir, running, st, newCloud(nil), []tenant{hot}, g)
	for _, v := range d.fleet.vms {
		for range 12 {
			d.read(v, "ledger-bounded_staleness", "key-farm-1")
		}
	}
	time.Sleep(restartGap / 2)
	for range 3 {
		if trouble {
			note("all processes are killed")
			var ends sync.WaitGroup
			for _, v := range d.fleet.vms {
				ends.Go(v.kill)
			}
			ends.Wait()
			time.Sleep(restartDelay)
			for _, v := range d.fleet.vms {
				v.start()
			}
		}
		time.Sleep(restartGap - restartDelay)
	}
	time.Sleep(8 * time.Second)
	d.end()
	d.summary()
	return d.checkQuota(g, hot)
}

const (
	restartDelay = 500 * time.Millisecond
	restartGap   = 1500 * time.Millisecond
	quotaWindow  = 5 * time.Second
)

// read runs a loop of single reads on a session, until the deployment stops.
func (d *deployment) read(v *vm, host, key string) {
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		for {
			c, _ := dial(d.rec, v, host, key)
			for c != nil {
				a := c.do(fmt.Sprintf("READ %x", rand.Intn(2000)))
				if a.code == "CUT" {
					c.close()
					c = nil
				}
				select {
				case <-d.stop:
					return
				case <-time.After(time.Duration(45+rand.Intn(40)) * time.Millisecond):
				}
			}
			select {
			case <-d.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
}

// checkQuota returns 1 if in some quota_window_s more requests of a tenant were both sent and reached
// a member that ran them than its limit allows.
func (d *deployment) checkQuota(g *group, t tenant) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	sent := map[string]time.Time{}
	for _, a := range d.rec.answers {
		sent[a.id] = a.sent
	}
	type span struct{ sent, arrived time.Time }
	spans, counted := []span{}, map[string]bool{}
	for _, e := range g.executions {
		if at, ok := sent[e.request]; ok && e.tenant == t.name && !counted[e.request] {
			counted[e.request] = true
			spans = append(spans, span{at, e.arrived})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	allowed := int((float64(t.rate)*quotaWindow.Seconds()+float64(t.burst))*1.1 + 20)
	most, from := 0, time.Time{}
	for i := range spans {
		end, count := spans[i].sent.Add(quotaWindow), 0
		for j := i; j < len(spans) && spans[j].sent.Before(end); j++ {
			if spans[j].arrived.Before(end) {
				count++
			}
		}
		if count > most {
			most, from = count, spans[i].sent
		}
	}
	note("QUOTA: at most %d requests of tenant %s were sent and run in 5 s, from %s on; allowed %d", most, t.name, stamp(from), allowed)
	if most > allowed {
		return 1
	}
	return 0
}

// checkDrain returns 1 if a single statement, or the first one of a transaction, reached a member
// later than drain_ms after the store had acknowledged that it is draining.
func (d *deployment) checkDrain(g *group, member string, acknowledged time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	late, last := 0, time.Duration(0)
	byRequest := map[string]*answer{}
	for _, a := range d.rec.answers {
		byRequest[a.id] = a
	}
	for _, a := range g.arrivals {
		after := a.at.Sub(acknowledged)
		if a.member != member || after <= 0 {
			continue
		}
		last = max(last, after)
		if after > drainBound {
			late++
			if late <= 20 {
				vm := "?"
				if b := byRequest[a.request]; b != nil {
					vm = b.vm
				}
				note("DRAIN: request %s, which a consumer sent to %s, reached the draining member %.3f s after the ack", a.request, vm, after.Seconds())
			}
		}
	}
	note("the last request reached the draining member %.3f s after the ack; %d came later than %s", last.Seconds(), late, drainBound)
	if late > 0 {
		return 1
	}
	return 0
}

// settingsChange: the platform moves its store to another address, writes that into the settings files
// and sends SIGHUP to a part of the processes. Later the operator withdraws a key.
func settingsChange(program, dir string, running **fleet) int {
	st := newStore()
	g := newGroup("ledger", st, 0, networkDelay, "east-a", "east-b", "west-a")
	keep := tenant{
		name:  "farm",
		keys:  []string{"key-farm-1"},
		rate:  2000,
		burst: 2000,
	}
	withdrawn := tenant{
		name:  "desk",
		keys:  []string{"key-desk-1", "key-desk-2"},
		rate:  2000,
		burst: 2000,
	}
	d := deploy(program, dir, running, st, newCloud(nil), []tenant{keep, withdrawn}, g)
	for _, v := range d.fleet.vms {
		d.write(v, "ledger-primary", "key-farm-1", 100*time.Millisecond)
		d.write(v, "ledger-primary", "key-desk-1", 100*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		st.move()
		note("the store is at %s now; the settings files say so", st.addresses[storeRegion])
		for i, v := range d.fleet.vms {
			v.write()
			if i%2 == 0 {
				// The others notice the change of the file by themselves.
				v.signal(syscall.SIGHUP)
			}
		}
	}
	time.Sleep(8 * time.Second)
	withdrawn.keys = withdrawn.keys[1:]
	acknowledged := st.write("op/config", configuration(9, d.groups, []tenant{keep, withdrawn}))
	note("the operator withdraws key-desk-1, acknowledged by the store")
	time.Sleep(20 * time.Second)
	d.end()
	d.summary()
	late := []*answer{}
	for _, a := range d.rec.answers {
		if a.key == "key-desk-1" && a.code == "OK" && a.sent.Sub(acknowledged) > configBound {
			late = append(late, a)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].sent.Before(late[j].sent) })
	for i, a := range late {
		if i < 10 || i == len(late)-1 {
			note("CONFIG: request %s with the withdrawn key was sent to %s %.3f s after the ack and was served", a.id, a.vm, a.sent.Sub(acknowledged).Seconds())
		}
	}
	note("%d requests with the withdrawn key were served later than %s after the ack", len(late), configBound)
	if len(late) > 0 {
		return 1
	}
	return 0
}
