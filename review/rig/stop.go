package main

import (
	"fmt"
	"sync"
	"time"
)

// The latest moments after SIGTERM at which the consumers send. Both statements take less
// than the largest time that the site file gives for their kind of request.
const (
	lateRead   = 5200 * time.Millisecond
	lateCommit = 5440 * time.Millisecond
	slowRead   = 400 * time.Millisecond
	slowCommit = 80 * time.Millisecond
	// pause is the time between two statements of a transaction, below tx_idle_ms.
	pause = 900 * time.Millisecond
	// lossSlack is loss_slack_ms: a connection that ends sooner after a request was sent counts
	// only if the request was passed on to a member.
	lossSlack = 200 * time.Millisecond
	// settle is longer than any statement takes at a member.
	settle = time.Second
)

// lostAnswer describes a request that has no complete answer. It returns false if the rule LOST
// does not count it.
func (f *fleet) lostAnswer(c *client, id, text string, sinceStop, waited time.Duration) (string, bool) {
	time.Sleep(settle)
	received, ran := f.database.reached(id)
	if !received && waited <= lossSlack {
		return "", false
	}
	return fmt.Sprintf("LOST: %s: %q was sent %.3f s after SIGTERM; the connection ended %.3f s later without a complete answer; the member received it: %t, and ran it: %t",
		c.name, text, sinceStop.Seconds(), waited.Seconds(), received, ran), true
}

// playStop sends SIGTERM to the process that holds open transactions, whose consumers go on
// with pauses below tx_idle_ms, and checks that each statement gets a complete answer.
func playStop(r *record, trouble bool, started func(*fleet)) ([]string, error) {
	f, err := newFleet(r, 7, []tenant{{name: "t1", keys: []string{"key-one"}}})
	started(f)
	if err != nil {
		return nil, err
	}
	f.database.work = func(text string) time.Duration {
		switch text {
		case "READ late":
			return slowRead
		case "COMMIT":
			return slowCommit
		}
		return defaultWork
	}
	target := f.vms[0]
	reader, err := dial(r, "reader", target, "bounded", "key-one")
	if err != nil {
		return nil, err
	}
	writer, err := dial(r, "writer", target, "strict", "key-one")
	if err != nil {
		return nil, err
	}
	var (
		mu     sync.Mutex
		broken []string
		failed error
		work   sync.WaitGroup
	)
	// fail makes the case end as one that could not run, if nothing has disturbed it.
	fail := func(disturbed bool, c *client, text string, got reply) {
		mu.Lock()
		defer mu.Unlock()
		if !disturbed {
			failed = fmt.Errorf("%s: %s without a disruption: %s", c.name, text, got)
		}
	}
	begin := time.Now().Add(2 * pause)
	// talk runs a transaction whose last statement is sent at the given time after begin.
	talk := func(c *client, first, step, last string, at time.Duration) {
		defer work.Done()
		for _, text := range []string{first, step} {
			if _, got := c.query(text); !got.ok() {
				fail(false, c, text, got)
				return
			}
		}
		for time.Now().Add(pause).Before(begin.Add(at)) {
			time.Sleep(pause)
			if _, got := c.query("READ steady"); !got.ok() {
				// The system has ended the transaction.
				fail(trouble, c, "READ steady", got)
				return
			}
		}
		time.Sleep(time.Until(begin.Add(at)))
		sent := time.Now()
		id, got := c.query(last)
		if !got.ok() {
			fail(trouble, c, last, got)
		}
		if got.lost == nil {
			return
		}
		if line, counts := f.lostAnswer(c, id, last, sent.Sub(begin), time.Since(sent)); counts {
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, line)
		}
	}
	work.Add(2)
	go talk(reader, "BEGIN READ", "READ first", "READ late", lateRead)
	go talk(writer, "BEGIN", "WRITE first v1", "COMMIT", lateCommit)
	time.Sleep(time.Until(begin))
	if trouble {
		f.terminate(target)
	}
	work.Wait()
	return broken, failed
}
