package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// hangupAfter is the time from SIGTERM to SIGHUP.
	hangupAfter = 800 * time.Millisecond
	// hangupClients is the number of consumers with an open transaction.
	hangupClients = 5
	// commitSpacing is the time between two commits.
	commitSpacing = 12 * time.Millisecond
)

// playHangup tells a process that its settings file has changed while it stops, and checks
// that the commits of the transactions that are open get a complete answer. The disruption is
// the SIGHUP; the SIGTERM is sent without it, too.
func playHangup(r *record, trouble bool, started func(*fleet)) ([]string, error) {
	f, err := newFleet(r, 7, []tenant{{name: "t1", keys: []string{"key-one"}}})
	started(f)
	if err != nil {
		return nil, err
	}
	f.database.work = func(text string) time.Duration {
		if text == "COMMIT" {
			return slowCommit
		}
		return defaultWork
	}
	target := f.vms[0]
	var (
		mu     sync.Mutex
		broken []string
		failed error
		work   sync.WaitGroup
	)
	begin := time.Now().Add(time.Second)
	for i := range hangupClients {
		work.Add(1)
		go func() {
			defer work.Done()
			c, err := dial(r, fmt.Sprintf("c%d", i), target, "strict", "key-one")
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
				return
			}
			defer c.close()
			for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE item%d v%d", i, i)} {
				if _, got := c.query(text); !got.ok() {
					mu.Lock()
					failed = fmt.Errorf("%s: %s before the disruption: %s", c.name, text, got)
					mu.Unlock()
					return
				}
			}
			// The commits are at the member when SIGHUP arrives.
			time.Sleep(time.Until(begin.Add(hangupAfter - time.Duration(i+1)*commitSpacing)))
			sent := time.Now()
			id, got := c.query("COMMIT")
			if !got.ok() && !trouble {
				mu.Lock()
				failed = fmt.Errorf("%s: COMMIT without a disruption: %s", c.name, got)
				mu.Unlock()
			}
			if got.lost == nil {
				return
			}
			if line, counts := f.lostAnswer(c, id, "COMMIT", sent.Sub(begin), time.Since(sent)); counts {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, line)
			}
		}()
	}
	time.Sleep(time.Until(begin))
	f.terminate(target)
	if trouble {
		time.Sleep(hangupAfter)
		r.printf("platform: SIGHUP to %s", target.name)
		_ = target.process.Process.Signal(syscall.SIGHUP)
	}
	work.Wait()
	return broken, failed
}
