package main

import (
	"fmt"
	"time"
)

const (
	// parked is how long a consumer rests inside its transaction after the key was withdrawn.
	parked = 6500 * time.Millisecond
	// margin is added to config_apply_ms before a statement counts.
	margin = 500 * time.Millisecond
)

// playRevoke withdraws a key while its holder has transactions open, and checks that no
// statement that is sent later than config_apply_ms after the ack runs.
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
	var broken []string
	check := func(c *client, text string) bool {
		sent := time.Now()
		id, got := c.query(text)
		if since := sent.Sub(acknowledged); trouble && since > configApply+margin && got.ok() {
			if run, ok := f.ran(id); ok {
				broken = append(broken, fmt.Sprintf("CONFIG: %s: %q was sent %.3f s after the ack of the version that withdrew its key, and %s ran it for %s",
					c.name, text, since.Seconds(), run.member, run.tenant))
			}
		}
		return got.ok()
	}
	// Up to 12 statements, each less than tx_idle_ms after the one before.
	for i := 1; i <= 9; i++ {
		time.Sleep(pause)
		if !check(active, fmt.Sprintf("READ a%d", i)) {
			break
		}
	}
	check(active, "COMMIT")
	time.Sleep(time.Until(acknowledged.Add(parked)))
	if check(resting, "WRITE r v1") {
		check(resting, "COMMIT")
	}
	// The configuration is in force: new work of the key is refused everywhere.
	check(single, "WRITE s v2")
	if _, err := dial(r, "late", f.vms[0], "strict", "key-old"); trouble && err == nil {
		broken = append(broken, "CONFIG: a new session was opened with the withdrawn key")
	}
	return broken, nil
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
