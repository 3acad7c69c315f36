package commands

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/declaration"
)

// planStep is a difference as JSON.
type planStep struct {
	Step       string                 `json:"step"`
	Difference declaration.Difference `json:"difference"`
}

// planResult is the output of plan.
type planResult struct {
	Version uint64     `json:"version"`
	Steps   []planStep `json:"steps"`
}

func (a *app) addPlan(k *kingpin.Application) {
	command := k.Command("plan", "Show what apply would change.")
	file := command.Arg("file", "Declaration in YAML.").Required().ExistingFile()
	command.Action(a.action(func(ctx context.Context) error {
		current, err := a.current(ctx)
		if err != nil {
			return err
		}
		wanted, err := parseFile(*file)
		if err != nil {
			return err
		}
		declaration.CopyMissingKeys(wanted, current)
		return a.printPlan(current.Version, declaration.Diff(current, wanted))
	}))
}

func (a *app) printPlan(version uint64, differences []declaration.Difference) error {
	result := planResult{
		Version: version,
		Steps:   []planStep{},
	}
	text := fmt.Sprintf("%d changes to version %d\n", len(differences), version)
	for _, difference := range differences {
		result.Steps = append(result.Steps, planStep{
			Step:       stepOf(difference),
			Difference: difference,
		})
		text += difference.String() + "\n"
	}
	if a.output == outputJSON {
		return a.printJSON(result)
	}
	return a.printText([]byte(text))
}

func stepOf(difference declaration.Difference) string {
	switch difference.(type) {
	case declaration.Added:
		return "added"
	case declaration.Removed:
		return "removed"
	default:
		return "changed"
	}
}
