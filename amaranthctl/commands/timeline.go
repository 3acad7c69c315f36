package commands

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

// stateChangeParts are the values of the log key "part" whose lines without a request
// record a change of the VM's view of the fleet and the databases.
var stateChangeParts = map[string]bool{
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
	command := k.Command("timeline", "Show, from the logs of the VMs, how their view of the fleet and the databases changed.")
	aroundText := command.Flag("around", "Show only changes around this time (RFC 3339, as in the logs).").String()
	within := command.Flag("within", "Time span to show before and after --around.").Default("5s").Duration()
	files := command.Arg("files", "Log files; standard input if absent.").ExistingFiles()
	command.Action(a.commandAction(func(context.Context) error {
		lines, err := readLogs(*files, os.Stdin)
		if err != nil {
			return err
		}
		var aroundTime time.Time
		if *aroundText != "" {
			if aroundTime, err = time.Parse(time.RFC3339Nano, *aroundText); err != nil {
				return withExitCode(exitUsage, eris.Wrap(err, "--around"))
			}
		}
		return a.printLogLines(stateChanges(lines, aroundTime, *within))
	}))
}

// stateChanges returns the lines that record a change of a VM's view; if around is
// set, only those within a time span before and after it.
func stateChanges(lines []*logLine, around time.Time, within time.Duration) []*logLine {
	found := []*logLine{}
	for _, l := range lines {
		outside := !around.IsZero() && l.Time.Sub(around).Abs() > within
		if l.Request == "" && stateChangeParts[l.Part] && !outside {
			found = append(found, l)
		}
	}
	return found
}
