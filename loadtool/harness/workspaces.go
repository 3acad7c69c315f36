package harness

import (
	"amaranthdock.dev/declaration"
)

// DeclareWorkspaces adds the workspaces that a declaration lacks, each with a key.
func (d *Deployment) DeclareWorkspaces(declared *Declaration, workspaces []WorkspaceSpec) *Declaration {
	for _, w := range workspaces {
		if _, ok := declared.Keys[w.Name]; ok {
			continue
		}
		issued := declaration.NewKey()
		declared.Keys[w.Name] = issued.Text
		declared.Document.Workspaces = append(declared.Document.Workspaces, declaration.Workspace{
			Name:      w.Name,
			Worth:     w.Worth,
			Rate:      w.Rate,
			Burst:     w.Burst,
			Databases: d.config.Spec.Databases,
			Keys:      []declaration.Key{issued.Key},
		})
	}
	return declared
}
