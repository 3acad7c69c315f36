package commands

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/declaration"
)

func (a *app) addValidate(k *kingpin.Application) {
	command := k.Command("validate", "Validate a declaration file without contacting a proxy.")
	file := command.Arg("file", "Declaration in YAML.").Required().ExistingFile()
	command.Action(a.commandAction(func(context.Context) error {
		if _, err := parseFile(*file); err != nil {
			return err
		}
		return a.printText([]byte(*file + " is valid\n"))
	}))
}

func parseFile(file string) (*declaration.Document, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the declaration file")
	}
	return declaration.Parse(file, source)
}
