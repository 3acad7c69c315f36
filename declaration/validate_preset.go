package declaration

import (
	"fmt"
)

func (v *validator) checkPresets() {
	usedNames := map[string]bool{}
	for i := range v.document.Presets {
		preset := &v.document.Presets[i]
		path := fmt.Sprintf("presets[%d]", i)
		v.checkName(path+".name", "preset", preset.Name, usedNames)
		if preset.Deadline <= 0 {
			v.addViolation(path+".deadline", "must be greater than 0")
		}
		if preset.MaxAge < 0 {
			v.addViolation(path+".maxAge", "must not be negative")
		}
		if preset.MaxQueueWait <= 0 {
			v.addViolation(path+".maxQueueWait", "must be greater than 0")
		}
		v.checkOverrides(path, preset)
	}
	if !usedNames[v.document.PresetInForce] || v.document.PresetInForce == "" {
		v.addViolation("presetInForce", "preset %q is not declared", v.document.PresetInForce)
	}
}

func (v *validator) checkOverrides(presetPath string, preset *Preset) {
	overridden := map[string]bool{}
	for i := range preset.Overrides {
		override := &preset.Overrides[i]
		path := fmt.Sprintf("%s.overrides[%d]", presetPath, i)
		if overridden[override.Workspace] {
			v.addViolation(path+".workspace", "duplicate workspace %q", override.Workspace)
		}
		overridden[override.Workspace] = true
		workspace := findWorkspace(v.document, override.Workspace)
		if workspace == nil {
			v.addViolation(path+".workspace", "workspace %q is not declared", override.Workspace)
			continue
		}
		v.checkOverride(path, override, workspace)
	}
}

// checkOverride checks the resulting limit, because a preset may raise the rate above
// the maximum for the workspace's own burst.
func (v *validator) checkOverride(path string, override *Override, workspace *Workspace) {
	limit := Limit{
		Rate:  workspace.Rate,
		Burst: workspace.Burst,
	}
	if override.Rate != nil {
		limit.Rate = *override.Rate
	}
	if override.Burst != nil {
		limit.Burst = *override.Burst
	}
	if override.Rate != nil || override.Burst != nil {
		v.checkLimit(path, path, limit)
	}
	if override.Worth != nil {
		v.checkWorth(path, *override.Worth)
	}
}
