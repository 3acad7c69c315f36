package commands

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/declaration"
)

func (a *app) addApply(k *kingpin.Application) {
	command := k.Command("apply", "Put a declaration in force. Workspaces whose keys the file does not list keep theirs.")
	file := command.Arg("file", "Declaration in YAML.").Required().ExistingFile()
	expected := command.Flag("expect-version", "Version that the change is based on; default: the present one.").String()
	id := command.Flag("change-id", "Id of an earlier try whose outcome is unknown.").String()
	command.Action(a.action(func(ctx context.Context) error {
		wanted, err := parseFile(*file)
		if err != nil {
			return err
		}
		current, err := a.current(ctx)
		if err != nil {
			return err
		}
		if err := checkExpected(*expected, current, *id); err != nil {
			return err
		}
		if *id == "" {
			*id = uuid.NewString()
		}
		declaration.CopyMissingKeys(wanted, current)
		return a.put(ctx, "", change{
			id:       *id,
			summary:  "apply " + filepath.Base(*file),
			expected: current.Version,
			document: wanted,
		})
	}))
}

// checkExpected compares before the change is sent, because the keys that the
// file does not list are taken from the present version.
func checkExpected(expected string, current *declaration.Document, id string) error {
	if expected == "" {
		return nil
	}
	version, err := strconv.ParseUint(expected, 10, 64)
	if err != nil {
		return withCode(exitUsage, eris.Errorf("--expect-version needs a version as a whole number, has %q", expected))
	}
	if _, accepted := declaration.FindChange(current, id); accepted || version == current.Version {
		return nil
	}
	message := fmt.Sprintf("version %d was expected, the configuration has version %d", version, current.Version)
	for _, other := range current.Changes {
		if other.Version > version {
			message += fmt.Sprintf("; version %d is by %s: %s (change %s)", other.Version, other.Author, other.Summary, other.ID)
			break
		}
	}
	return withCode(exitConflict, eris.New(message))
}
