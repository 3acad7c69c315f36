package declaration

import (
	"fmt"
)

func (v *validator) checkPresets() {
	seen := map[string]bool{}
	for i := range v.document.Presets {
		preset := &v.document.Presets[i]
		path := fmt.Sprintf("presets[%d]", i)
		v.checkName(path+".name", "preset", preset.Name, seen)
		if preset.Deadline <= 0 {
			v.add(path+".deadline", "must be above 0")
		}
		if preset.MaxAge < 0 {
			v.add(path+".maxAge", "must not be below 0")
		}
		if preset.MaxQueueWait <= 0 {
			v.add(path+".maxQueueWait", "must be above 0")
		}
		v.checkOverrides(path, preset)
	}
	if !seen[v.document.PresetInForce] || v.document.PresetInForce == "" {
		v.add("presetInForce", "preset %q is not declared", v.document.PresetInForce)
	}
}

func (v *validator) checkOverrides(presetPath string, preset *Preset) {
	seen := map[string]bool{}
	for i := range preset.Overrides {
		override := &preset.Overrides[i]
		path := fmt.Sprintf("%s.overrides[%d]", presetPath, i)
		if seen[override.Workspace] {
			v.add(path+".workspace", "workspace %q is given twice", override.Workspace)
		}
		seen[override.Workspace] = true
		workspace := findWorkspace(v.document, override.Workspace)
		if workspace == nil {
			v.add(path+".workspace", "workspace %q is not declared", override.Workspace)
			continue
		}
		v.checkOverride(path, override, workspace)
	}
}

// checkOverride checks the limit that results, because a preset may raise the
// rate above what the workspace's own burst allows for.
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
