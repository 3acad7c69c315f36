package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/declaration"
)

// workspaceFlags are the flags of workspace set; a zero value leaves the field
// unchanged.
type workspaceFlags struct {
	name      string
	worth     int
	rate      float64
	burst     int64
	databases []string
}

func (a *app) addWorkspace(k *kingpin.Application) {
	command := k.Command("workspace", "Workspaces.")
	set := command.Command("set", "Add a workspace, or change the given fields of an existing one.")
	flags := &workspaceFlags{}
	set.Arg("name", "Workspace.").Required().StringVar(&flags.name)
	set.Flag("worth", "Scheduling weight of the requests; at least 1.").IntVar(&flags.worth)
	set.Flag("rate", "Limit of requests per second.").Float64Var(&flags.rate)
	set.Flag("burst", "Number of requests allowed in a burst.").Int64Var(&flags.burst)
	set.Flag("database", "Database that the workspace may use; repeatable.").StringsVar(&flags.databases)
	set.Action(a.commandAction(func(ctx context.Context) error {
		return a.editDocument(ctx, "set workspace "+flags.name, "", flags.apply)
	}))
	remove := command.Command("remove", "Remove a workspace and its keys.")
	name := remove.Arg("name", "Workspace.").Required().String()
	remove.Action(a.commandAction(func(ctx context.Context) error {
		return a.editDocument(ctx, "remove workspace "+*name, "", func(document *declaration.Document) error {
			return declaration.RemoveWorkspace(document, *name)
		})
	}))
}

func (f *workspaceFlags) apply(document *declaration.Document) error {
	workspace := declaration.Workspace{
		Name:  f.name,
		Worth: 1,
	}
	for _, existing := range document.Workspaces {
		if existing.Name == f.name {
			workspace = existing
		}
	}
	if f.worth != 0 {
		workspace.Worth = f.worth
	}
	if f.rate != 0 {
		workspace.Rate = f.rate
	}
	if f.burst != 0 {
		workspace.Burst = f.burst
	}
	if len(f.databases) > 0 {
		workspace.Databases = f.databases
	}
	declaration.SetWorkspace(document, workspace)
	return nil
}
