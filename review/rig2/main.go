// Command rig2 plays one case of the second review against processes of the system, with stand-ins of
// the platform's store, its promotion service, the members and the consumers.
//
//	rig2 CASE PROGRAM RECORD
//
// TROUBLE=0 plays the case without its disruption. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With KEEP=1 the settings and logs of the processes stay.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	began    = time.Now()
	notesMu  sync.Mutex
	recorded *os.File
	trouble  = os.Getenv("TROUBLE") != "0"
)

// note writes a line of the record.
func note(format string, arguments ...any) {
	notesMu.Lock()
	defer notesMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
	fmt.Print(line)
	if recorded != nil {
		recorded.WriteString(line)
	}
}

// record writes a line that is not printed.
func record(format string, arguments ...any) {
	notesMu.Lock()
	defer notesMu.Unlock()
	if recorded != nil {
		fmt.Fprintf(recorded, format+"\n", arguments...)
	}
}

// stamp returns a time as in the record.
func stamp(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(began).Seconds()) }

type cannotRun struct{ cause string }

func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func main() {
	if len(os.Args) < 4 {
		fmt.Println("usage: rig2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(2)
	}
	if recorded, err = os.Create(os.Args[3]); err != nil {
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		os.Exit(2)
	}
	code := play(os.Args[1], program, dir)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	note("exit %d", code)
	recorded.Close()
	os.Exit(code)
}

// watch ends the processes if the case takes too long or is interrupted.
func watch(running **fleet) {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupts:
	case <-time.After(longestRun):
	}
	note("the case was interrupted or took too long")
	if *running != nil {
		(*running).stop()
	}
	os.Exit(2)
}

// longestRun is below the 120 seconds that a script may take.
const longestRun = 110 * time.Second

func play(name, program, dir string) (code int) {
	var f *fleet
	defer func() {
		if f != nil {
			f.stop()
		}
		if cause := recover(); cause != nil {
			note("the case could not run: %v", cause)
			code = 2
		}
	}()
	go watch(&f)
	run, ok := cases[name]
	if !ok {
		note("there is no case %q", name)
		return 2
	}
	return run(program, dir, &f)
}
