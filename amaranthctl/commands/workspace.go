package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/declaration"
)

// workspaceFlags are what workspace set changes; zero values change nothing.
type workspaceFlags struct {
	name      string
	worth     int
	rate      float64
	burst     int64
	databases []string
}

func (a *app) addWorkspace(k *kingpin.Application) {
	command := k.Command("workspace", "Workspaces.")
	set := command.Command("set", "Add a workspace, or change the fields that are given.")
	flags := &workspaceFlags{}
	set.Arg("name", "Workspace.").Required().StringVar(&flags.name)
	set.Flag("worth", "Weight of the requests, from 1.").IntVar(&flags.worth)
	set.Flag("rate", "Requests per second.").Float64Var(&flags.rate)
	set.Flag("burst", "Requests at once.").Int64Var(&flags.burst)
	set.Flag("database", "Database that serves the workspace; repeatable.").StringsVar(&flags.databases)
	set.Action(a.action(func(ctx context.Context) error {
		return a.edit(ctx, "set workspace "+flags.name, "", flags.apply)
	}))
	remove := command.Command("remove", "Remove a workspace with its keys.")
	name := remove.Arg("name", "Workspace.").Required().String()
	remove.Action(a.action(func(ctx context.Context) error {
		return a.edit(ctx, "remove workspace "+*name, "", func(document *declaration.Document) error {
			return declaration.RemoveWorkspace(document, *name)
		})
	}))
}

func (f *workspaceFlags) apply(document *declaration.Document) error {
	workspace := declaration.Workspace{
		Name:  f.name,
		Worth: 1,
	}
	for _, present := range document.Workspaces {
		if present.Name == f.name {
			workspace = present
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
