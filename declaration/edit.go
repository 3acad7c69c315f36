package declaration

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// MaxChanges is the number of latest changes that a document names.
const MaxChanges = 64

// ErrNotFound is returned by edits that name something the document lacks.
var ErrNotFound = eris.New("not found")

// AddKey adds a key to a workspace.
func AddKey(document *Document, workspace string, key Key) error {
	owner := findWorkspace(document, workspace)
	if owner == nil {
		return eris.Wrapf(ErrNotFound, "workspace %q", workspace)
	}
	owner.Keys = append(owner.Keys, key)
	return nil
}

// AppendChange records a change as the latest one; Version of the document rises
// to the change's version.
func AppendChange(document *Document, change Change) {
	document.Version = change.Version
	document.Changes = append(document.Changes, change)
	if excess := len(document.Changes) - MaxChanges; excess > 0 {
		document.Changes = slices.Clone(document.Changes[excess:])
	}
}

// Clone returns a deep copy.
func Clone(document *Document) (*Document, error) {
	plain, err := json.Marshal(document)
	if err != nil {
		return nil, eris.Wrap(err, "copy the document")
	}
	clone := &Document{}
	if err := json.Unmarshal(plain, clone); err != nil {
		return nil, eris.Wrap(err, "copy the document")
	}
	return clone, nil
}

// FindChange returns the change with an id.
func FindChange(document *Document, id string) (Change, bool) {
	for _, change := range document.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Change{}, false
}

// CopyMissingKeys copies the keys of workspaces that list none from the previous
// document, so that a declaration without keys does not withdraw them.
func CopyMissingKeys(document, previous *Document) {
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		if workspace.Keys != nil {
			continue
		}
		if old := findWorkspace(previous, workspace.Name); old != nil {
			workspace.Keys = slices.Clone(old.Keys)
		}
	}
}

// RemoveWorkspace removes a workspace with its keys and its overrides.
func RemoveWorkspace(document *Document, name string) error {
	if findWorkspace(document, name) == nil {
		return eris.Wrapf(ErrNotFound, "workspace %q", name)
	}
	document.Workspaces = slices.DeleteFunc(document.Workspaces, func(w Workspace) bool {
		return w.Name == name
	})
	for i := range document.Presets {
		preset := &document.Presets[i]
		preset.Overrides = slices.DeleteFunc(preset.Overrides, func(o Override) bool {
			return o.Workspace == name
		})
	}
	return nil
}

// RevokeKey marks a key as revoked. It stays in the document, so that its callers
// get a clear error.
func RevokeKey(document *Document, id string) error {
	for i := range document.Workspaces {
		for j := range document.Workspaces[i].Keys {
			key := &document.Workspaces[i].Keys[j]
			if key.ID == id {
				key.Revoked = true
				return nil
			}
		}
	}
	return eris.Wrapf(ErrNotFound, "key %q", id)
}

// SetLeaving drains an endpoint or takes it back.
func SetLeaving(document *Document, endpoint string, leaving bool) error {
	for i := range document.Services {
		for j := range document.Services[i].Databases {
			database := &document.Services[i].Databases[j]
			for k := range database.Endpoints {
				if database.Endpoints[k].Name == endpoint {
					database.Endpoints[k].Leaving = leaving
					return nil
				}
			}
		}
	}
	return eris.Wrapf(ErrNotFound, "endpoint %q", endpoint)
}

// SetWorkspace adds a workspace, or replaces the one of the same name. Keys that
// are nil keep the present ones.
func SetWorkspace(document *Document, workspace Workspace) {
	present := findWorkspace(document, workspace.Name)
	if present == nil {
		document.Workspaces = append(document.Workspaces, workspace)
		return
	}
	if workspace.Keys == nil {
		workspace.Keys = present.Keys
	}
	*present = workspace
}

// UsePreset puts a preset in force.
func UsePreset(document *Document, name string) error {
	if !slices.ContainsFunc(document.Presets, func(p Preset) bool { return p.Name == name }) {
		return eris.Wrapf(ErrNotFound, "preset %q", name)
	}
	document.PresetInForce = name
	return nil
}

func findWorkspace(document *Document, name string) *Workspace {
	for i := range document.Workspaces {
		if document.Workspaces[i].Name == name {
			return &document.Workspaces[i]
		}
	}
	return nil
}
