// Command rig plays one case of the review: it starts the project's program as separate
// processes on loopback addresses, with stand-ins of the platform's store, of a database and
// of its consumers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play plays a case. Without trouble, the disruption is left out. It returns what broke the
// rule; nothing if it held.
type play func(r *record, trouble bool, started func(*fleet)) ([]string, error)

var plays = map[string]play{
	"stop":   playStop,
	"revoke": playRevoke,
	"grey":   playGrey,
	"hangup": playHangup,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig stop|revoke|grey|hangup RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	var running *fleet
	defer func() { running.stop() }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	go func() {
		broken, err := p(r, trouble, func(f *fleet) { running = f })
		results <- result{broken, err}
	}()
	select {
	case <-interrupted:
		return exitFailed
	case got := <-results:
		switch {
		case got.err != nil:
			r.printf("the case could not run: %v", got.err)
			fmt.Fprintln(os.Stderr, got.err)
			return exitFailed
		case len(got.broken) > 0:
			for _, line := range got.broken {
				r.printf("BROKEN: %s", line)
				fmt.Println("BROKEN: " + line)
			}
			return exitBroken
		}
		r.printf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
