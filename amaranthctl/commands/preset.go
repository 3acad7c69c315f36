package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/declaration"
)

func (a *app) addPreset(k *kingpin.Application) {
	command := k.Command("preset", "Manage presets, such as those for normal load, peak load and maintenance.")
	use := command.Command("use", "Activate a preset.")
	name := use.Arg("name", "Preset.").Required().String()
	use.Action(a.commandAction(func(ctx context.Context) error {
		return a.editDocument(ctx, "use preset "+*name, "", func(document *declaration.Document) error {
			return declaration.UsePreset(document, *name)
		})
	}))
	show := command.Command("show", "List the presets and show which one is active.")
	show.Action(a.commandAction(a.showPresets))
}

func (a *app) showPresets(ctx context.Context) error {
	document, err := a.currentDocument(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, preset := range document.Presets {
		inForce := ""
		if preset.Name == document.PresetInForce {
			inForce = "yes"
		}
		rows = append(rows, []string{
			preset.Name,
			inForce,
			preset.Deadline.String(),
			preset.MaxAge.String(),
			preset.MaxQueueWait.String(),
		})
	}
	return a.printResult([]string{"PRESET", "IN FORCE", "DEADLINE", "MAX AGE", "MAX QUEUE WAIT"}, rows, struct {
		PresetInForce string               `json:"presetInForce"`
		Presets       []declaration.Preset `json:"presets"`
	}{
		PresetInForce: document.PresetInForce,
		Presets:       document.Presets,
	})
}
