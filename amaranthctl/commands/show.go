package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/declaration"
)

func (a *app) addShow(k *kingpin.Application) {
	command := k.Command("show", "Print the configuration as YAML, with keys as hashes.")
	command.Action(a.commandAction(func(ctx context.Context) error {
		document, err := a.currentDocument(ctx)
		if err != nil {
			return err
		}
		if a.output == outputJSON {
			return a.printJSON(document)
		}
		formatted, err := declaration.Format(document)
		if err != nil {
			return err
		}
		return a.printText(formatted)
	}))
}
