package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/declaration"
)

func (a *app) addEndpoint(k *kingpin.Application) {
	command := k.Command("endpoint", "Endpoints of the databases.")
	a.addSetLeaving(command, "drain", "Give an endpoint no new work.", true)
	a.addSetLeaving(command, "undrain", "Give an endpoint work again.", false)
}

func (a *app) addSetLeaving(parent *kingpin.CmdClause, verb, text string, leaving bool) {
	command := parent.Command(verb, text)
	name := command.Arg("name", "Endpoint.").Required().String()
	command.Action(a.action(func(ctx context.Context) error {
		return a.edit(ctx, verb+" endpoint "+*name, "", func(document *declaration.Document) error {
			return declaration.SetLeaving(document, *name, leaving)
		})
	}))
}
