package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// greyShare and greyTime are below the largest dose of the site files, 0.45 and 6.6 s: one
	// member fails this share of its requests for this long.
	greyShare    = 0.4
	greyTime     = 6500 * time.Millisecond
	greySessions = 8
)

// playGrey lets the primary fail part of its requests, and checks that each statement runs
// with the session values that were acknowledged to its consumer.
func playGrey(r *record, trouble bool, started func(*fleet)) ([]string, error) {
	f, err := newFleet(r, 7, []tenant{{name: "t1", keys: []string{"key-one"}}, {name: "t2", keys: []string{"key-two"}}})
	started(f)
	if err != nil {
		return nil, err
	}
	var (
		mu       sync.Mutex
		work     sync.WaitGroup
		expected = map[string]string{}
		failures []error
	)
	setShare := func(share float64) {
		f.database.mu.Lock()
		defer f.database.mu.Unlock()
		f.database.members[0].failShare = share
	}
	if trouble {
		r.printf("the primary fails %.0f%% of its requests for %s", 100*greyShare, greyTime)
		setShare(greyShare)
		time.AfterFunc(greyTime, func() { setShare(0) })
	}
	healthy := time.Now().Add(greyTime)
	end := healthy.Add(3 * time.Second)
	unknown := 0
	for i := range greySessions {
		work.Add(1)
		go func() {
			defer work.Done()
			name := fmt.Sprintf("c%d", i)
			value := fmt.Sprintf("app-%d", i)
			for time.Now().Before(end) {
				c, err := dial(r, name, f.vms[i%len(f.vms)], "strict", []string{"key-one", "key-two"}[i%2])
				if err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
					return
				}
				_, set := c.query("SET app " + value)
				_, prepared := c.query(fmt.Sprintf("PREPARE p READ q%d", i))
				for set.ok() && prepared.ok() && time.Now().Before(end) {
					if !f.transaction(c, value, &mu, expected, &unknown) {
						break
					}
					time.Sleep(60 * time.Millisecond)
				}
				c.close()
			}
		}()
	}
	work.Wait()
	if len(failures) > 0 {
		return nil, failures[0]
	}
	time.Sleep(settle)
	if len(f.database.executed) == 0 {
		return nil, errors.New("no statement ran")
	}
	return f.wrongValues(expected, unknown, healthy), nil
}

// transaction runs a transaction of two reads. It returns false if the session is of no use
// any more.
func (f *fleet) transaction(c *client, value string, mu *sync.Mutex, expected map[string]string, unknown *int) bool {
	for _, text := range []string{"BEGIN", "EXECUTE p b", "READ a", "COMMIT"} {
		id := newID()
		mu.Lock()
		expected[id] = value
		mu.Unlock()
		got := c.queryWithID(id, text)
		if got.lost != nil {
			return false
		}
		if got.ok() {
			continue
		}
		if text == "EXECUTE p b" && (got.code == "NOSTMT" || got.code == "MALFORMED") {
			mu.Lock()
			*unknown++
			mu.Unlock()
		}
		if got.state != "I" {
			if _, ended := c.query("ROLLBACK"); !ended.ok() {
				return false
			}
		}
		return true
	}
	return true
}

// wrongValues compares the values with which the members ran statements with those that were
// acknowledged, and reports executions of names that were acknowledged but unknown. From the
// time healthy on, no request fails any more.
func (f *fleet) wrongValues(expected map[string]string, unknown int, healthy time.Time) []string {
	f.database.mu.Lock()
	defer f.database.mu.Unlock()
	var broken []string
	count, late, total := 0, 0, 0
	for _, e := range f.database.executed {
		value, ok := expected[e.id]
		if !ok {
			continue
		}
		total++
		if len(e.values) == 1 && e.values["app"] == value {
			continue
		}
		count++
		if e.at.After(healthy) {
			late++
		}
		if count <= 3 {
			broken = append(broken, fmt.Sprintf("PINNED: %s ran %s %q with the values %v; its consumer's are app=%s", e.member, e.id, e.text, e.values, value))
		}
	}
	if count > 0 {
		broken = append(broken, fmt.Sprintf("PINNED: %d of %d statements ran with other values than those that were acknowledged to their consumers, %d of them after the disruption", count, total, late))
	}
	if names := f.database.unknownNames; len(names) > 0 {
		late = 0
		for _, at := range names {
			if at.After(healthy) {
				late++
			}
		}
		broken = append(broken, fmt.Sprintf("PINNED: %d executions of a name whose preparing was acknowledged met an unknown name at the member, %d of them after the disruption; %d consumers were told so", len(names), late, unknown))
	}
	return broken
}
