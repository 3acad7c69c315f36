package harness

import (
	"amaranthdock.dev/declaration"
)

// AddWorkspaces adds the workspaces that a declaration lacks, each with a new key.
func (d *Deployment) AddWorkspaces(declared *Declaration, workspaces []WorkspaceSpec) *Declaration {
	for _, w := range workspaces {
		if _, ok := declared.Keys[w.Name]; ok {
			continue
		}
		newKey := declaration.NewKey()
		declared.Keys[w.Name] = newKey.Text
		declared.Document.Workspaces = append(declared.Document.Workspaces, declaration.Workspace{
			Name:      w.Name,
			Worth:     w.Worth,
			Rate:      w.Rate,
			Burst:     w.Burst,
			Databases: d.config.Spec.Databases,
			Keys:      []declaration.Key{newKey.Key},
		})
	}
	return declared
}
