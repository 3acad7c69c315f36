package commands

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

// beliefParts are the parts of a process whose lines without a request tell a change
// of what the process believes.
var beliefParts = map[string]bool{
	"":         true,
	"endpoint": true,
	"failover": true,
	"gossip":   true,
	"lending":  true,
	"peer":     true,
	"store":    true,
	"view":     true,
}

func (a *app) addTimeline(k *kingpin.Application) {
	command := k.Command("timeline", "Show what the VMs believed around a time, from their logs.")
	around := command.Flag("around", "Time as in the logs, RFC 3339; all if absent.").String()
	within := command.Flag("within", "Span before and after.").Default("5s").Duration()
	files := command.Arg("files", "Logs; the standard input if absent.").ExistingFiles()
	command.Action(a.action(func(context.Context) error {
		lines, err := readLogs(*files, os.Stdin)
		if err != nil {
			return err
		}
		var centre time.Time
		if *around != "" {
			if centre, err = time.Parse(time.RFC3339Nano, *around); err != nil {
				return withCode(exitUsage, eris.Wrap(err, "--around"))
			}
		}
		return a.printLines(beliefs(lines, centre, *within))
	}))
}

// beliefs returns the lines that tell a change of belief, around a time if it is set.
func beliefs(lines []*logLine, centre time.Time, within time.Duration) []*logLine {
	found := []*logLine{}
	for _, l := range lines {
		far := !centre.IsZero() && l.Time.Sub(centre).Abs() > within
		if l.Request == "" && beliefParts[l.Part] && !far {
			found = append(found, l)
		}
	}
	return found
}
