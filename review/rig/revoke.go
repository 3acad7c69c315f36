package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// rest is how long a consumer rests inside its transaction. Consumers of the grown sites
	// rest for up to 6.5 s.
	rest = 6200 * time.Millisecond
	// keyBound is revoke_ms, the later one of the two bounds for keys; config_apply_ms is 4 s.
	keyBound = 5 * time.Second
	// margin is added to the bound before a statement counts.
	margin = 500 * time.Millisecond
)

// playRevoke withdraws a key while its holder has transactions open, and checks that no
// statement that is sent later than the bounds after the ack runs.
func playRevoke(r *record, trouble bool, started func(*fleet)) ([]string, error) {
	before := []tenant{{name: "t1", keys: []string{"key-old", "key-new"}}, {name: "t2", keys: []string{"key-two"}}}
	after := []tenant{{name: "t1", keys: []string{"key-new"}}, {name: "t2", keys: []string{"key-two"}}}
	f, err := newFleet(r, 7, before)
	started(f)
	if err != nil {
		return nil, err
	}
	active, err := dial(r, "active", f.vms[0], "strict", "key-old")
	if err != nil {
		return nil, err
	}
	resting, err := dial(r, "resting", f.vms[1], "strict", "key-old")
	if err != nil {
		return nil, err
	}
	single, err := dial(r, "single", f.vms[2], "strict", "key-old")
	if err != nil {
		return nil, err
	}
	// The active consumer has a statement open before the key is withdrawn, the resting one
	// has only begun.
	for _, step := range []struct {
		c    *client
		text string
	}{{active, "BEGIN"}, {active, "WRITE a v0"}, {resting, "BEGIN"}, {single, "WRITE s v0"}} {
		if _, got := step.c.query(step.text); !got.ok() {
			return nil, fmt.Errorf("%s: %s: %s", step.c.name, step.text, got)
		}
	}
	if !trouble {
		after = before
	}
	acknowledged := f.configure(after)
	var (
		mu     sync.Mutex
		broken []string
		failed error
		work   sync.WaitGroup
	)
	// check sends a statement. Whether it may run follows from the configuration in force.
	check := func(c *client, text string) bool {
		sent := time.Now()
		id, got := c.query(text)
		since := sent.Sub(acknowledged)
		run, ran := f.ran(id)
		mu.Lock()
		defer mu.Unlock()
		switch allowed := holds(after, "key-old"); {
		case allowed && !got.ok():
			failed = fmt.Errorf("%s: %s with a key that is in force: %s", c.name, text, got)
		case !allowed && ran && since > keyBound+margin:
			broken = append(broken, fmt.Sprintf("CONFIG: %s: %q was sent %.3f s after the ack of the version that withdrew its key, and %s ran it for %s",
				c.name, text, since.Seconds(), run.member, run.tenant))
		}
		return got.ok()
	}
	work.Add(1)
	go func() {
		defer work.Done()
		time.Sleep(time.Until(acknowledged.Add(rest)))
		if check(resting, "WRITE r v1") {
			check(resting, "COMMIT")
		}
	}()
	// Up to 12 statements, each less than tx_idle_ms after the one before.
	for i := 1; i <= 9; i++ {
		time.Sleep(pause)
		if !check(active, fmt.Sprintf("READ a%d", i)) {
			break
		}
	}
	check(active, "COMMIT")
	work.Wait()
	// This shows in the record whether the version is in force for new work of the key.
	check(single, "WRITE s v2")
	if late, err := dial(r, "late", f.vms[0], "strict", "key-old"); err == nil {
		check(late, "READ s")
	}
	return broken, failed
}

// holds reports whether a tenant of a configuration has the key.
func holds(tenants []tenant, key string) bool {
	for _, t := range tenants {
		if slices.Contains(t.keys, key) {
			return true
		}
	}
	return false
}

// ran returns the execution of a request at a member.
func (f *fleet) ran(id string) (execution, bool) {
	f.database.mu.Lock()
	defer f.database.mu.Unlock()
	for _, e := range f.database.executed {
		if e.id == id {
			return e, true
		}
	}
	return execution{}, false
}
