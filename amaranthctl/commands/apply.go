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
	command := k.Command("apply", "Apply a declaration. Workspaces without keys in the file keep their existing keys.")
	file := command.Arg("file", "Declaration in YAML.").Required().ExistingFile()
	expected := command.Flag("expect-version", "Version that the change is based on; the current version if absent.").String()
	id := command.Flag("change-id", "ID of an earlier attempt whose outcome is unknown.").String()
	command.Action(a.commandAction(func(ctx context.Context) error {
		wanted, err := parseFile(*file)
		if err != nil {
			return err
		}
		current, err := a.currentDocument(ctx)
		if err != nil {
			return err
		}
		if err := checkExpectedVersion(*expected, current, *id); err != nil {
			return err
		}
		if *id == "" {
			*id = uuid.NewString()
		}
		declaration.CopyMissingKeys(wanted, current)
		return a.submitChange(ctx, "", change{
			id:       *id,
			summary:  "apply " + filepath.Base(*file),
			expected: current.Version,
			document: wanted,
		})
	}))
}

// checkExpectedVersion returns a conflict if the current version is not the one
// given with --expect-version. The check is made before the change is sent,
// because the keys that the file does not list are taken from the current version.
func checkExpectedVersion(expected string, current *declaration.Document, id string) error {
	if expected == "" {
		return nil
	}
	version, err := strconv.ParseUint(expected, 10, 64)
	if err != nil {
		return withExitCode(exitUsage, eris.Errorf("--expect-version requires a version as a whole number, got %q", expected))
	}
	if _, accepted := declaration.FindChange(current, id); accepted || version == current.Version {
		return nil
	}
	message := fmt.Sprintf("expected version %d, but the configuration has version %d", version, current.Version)
	for _, other := range current.Changes {
		if other.Version > version {
			message += fmt.Sprintf("; version %d was made by %s: %s (change %s)", other.Version, other.Author, other.Summary, other.ID)
			break
		}
	}
	return withExitCode(exitConflict, eris.New(message))
}
