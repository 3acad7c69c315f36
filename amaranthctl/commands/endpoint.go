package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/declaration"
)

func (a *app) addEndpoint(k *kingpin.Application) {
	command := k.Command("endpoint", "Manage the endpoints of the databases.")
	a.addEndpointCommand(command, "drain", "Stop sending new work to an endpoint.", true)
	a.addEndpointCommand(command, "undrain", "Resume sending work to an endpoint.", false)
}

func (a *app) addEndpointCommand(parent *kingpin.CmdClause, name, help string, leaving bool) {
	command := parent.Command(name, help)
	endpoint := command.Arg("name", "Endpoint.").Required().String()
	command.Action(a.commandAction(func(ctx context.Context) error {
		return a.editDocument(ctx, name+" endpoint "+*endpoint, "", func(document *declaration.Document) error {
			return declaration.SetLeaving(document, *endpoint, leaving)
		})
	}))
}
