package declaration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Difference is one difference between two documents: Added, Changed or Removed.
type Difference interface {
	fmt.Stringer
	difference()
}

// Kind is the kind of an element of a document, such as an endpoint. KindDocument stands
// for the document's own fields.
type Kind string

// Kinds of elements.
const (
	KindDatabase  Kind = "database"
	KindDocument  Kind = "document"
	KindEndpoint  Kind = "endpoint"
	KindKey       Kind = "key"
	KindOverride  Kind = "override"
	KindPreset    Kind = "preset"
	KindRegion    Kind = "region"
	KindRoute     Kind = "route"
	KindService   Kind = "service"
	KindWorkspace Kind = "workspace"
)

// Added is an element that only the new document contains.
type Added struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Changed is a field of an element whose value differs.
type Changed struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Removed is an element that only the old document contains.
type Removed struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (a Added) difference()   {}
func (c Changed) difference() {}
func (r Removed) difference() {}

// String returns the difference on one line.
func (a Added) String() string { return fmt.Sprintf("+ %s %s", a.Kind, a.Name) }

// String returns the difference on one line.
func (c Changed) String() string {
	return fmt.Sprintf("~ %s %s: %s %s -> %s", c.Kind, c.Name, c.Field, c.Old, c.New)
}

// String returns the difference on one line.
func (r Removed) String() string { return fmt.Sprintf("- %s %s", r.Kind, r.Name) }

// Diff returns the differences between the old and the new document, sorted by kind and
// name. Version and Changes are not compared.
func Diff(before, after *Document) []Difference {
	old := flatten(before)
	current := flatten(after)
	ids := make([]elementID, 0, len(old)+len(current))
	for id := range old {
		ids = append(ids, id)
	}
	for id := range current {
		if _, inOld := old[id]; !inOld {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b elementID) int {
		return strings.Compare(string(a.kind)+"\x00"+a.name, string(b.kind)+"\x00"+b.name)
	})
	var differences []Difference
	for _, id := range ids {
		differences = append(differences, compareElement(id, old, current)...)
	}
	return differences
}

type elementID struct {
	kind Kind
	name string
}

type elementFields []elementField

type elementField struct {
	name  string
	value string
}

func compareElement(id elementID, old, current map[elementID]elementFields) []Difference {
	before, existed := old[id]
	after, exists := current[id]
	switch {
	case !existed:
		return []Difference{Added{
			Kind: id.kind,
			Name: id.name,
		}}
	case !exists:
		return []Difference{Removed{
			Kind: id.kind,
			Name: id.name,
		}}
	}
	var differences []Difference
	for i := range before {
		if before[i].value == after[i].value {
			continue
		}
		differences = append(differences, Changed{
			Kind:  id.kind,
			Name:  id.name,
			Field: before[i].name,
			Old:   before[i].value,
			New:   after[i].value,
		})
	}
	return differences
}

// flatten returns the elements of a document with their fields.
func flatten(document *Document) map[elementID]elementFields {
	elements := map[elementID]elementFields{
		newElementID(KindDocument, "document"): {
			newField("presetInForce", document.PresetInForce),
			newField("storeRegion", document.StoreRegion),
		},
	}
	for _, region := range document.Regions {
		elements[newElementID(KindRegion, region.Name)] = elementFields{newField("dataCentres", strings.Join(region.DataCentres, " "))}
	}
	for _, route := range document.Routes {
		elements[newElementID(KindRoute, route.Name)] = elementFields{
			newField("database", route.Database),
			newField("commands", strings.Join(route.Commands, " ")),
			newField("rate", formatRate(route.Rate)),
			newField("burst", strconv.FormatInt(route.Burst, 10)),
			newField("worth", strconv.Itoa(route.Worth)),
		}
	}
	flattenPresets(document, elements)
	flattenServices(document, elements)
	flattenWorkspaces(document, elements)
	return elements
}

func flattenPresets(document *Document, elements map[elementID]elementFields) {
	for _, preset := range document.Presets {
		elements[newElementID(KindPreset, preset.Name)] = elementFields{
			newField("deadline", preset.Deadline.String()),
			newField("maxAge", preset.MaxAge.String()),
			newField("maxQueueWait", preset.MaxQueueWait.String()),
		}
		for _, override := range preset.Overrides {
			elements[newElementID(KindOverride, preset.Name+"/"+override.Workspace)] = elementFields{
				newField("rate", formatOptional(override.Rate)),
				newField("burst", formatOptional(override.Burst)),
				newField("worth", formatOptional(override.Worth)),
			}
		}
	}
}

func flattenServices(document *Document, elements map[elementID]elementFields) {
	for _, service := range document.Services {
		elements[newElementID(KindService, service.Name)] = elementFields{}
		for _, database := range service.Databases {
			elements[newElementID(KindDatabase, database.Name)] = elementFields{newField("service", service.Name)}
			for _, endpoint := range database.Endpoints {
				elements[newElementID(KindEndpoint, endpoint.Name)] = elementFields{
					newField("database", database.Name),
					newField("dataCentre", endpoint.DataCentre),
					newField("address", endpoint.Address.String()),
					newField("slots", strconv.Itoa(endpoint.Slots)),
					newField("connections", strconv.Itoa(endpoint.Connections)),
					newField("leaving", strconv.FormatBool(endpoint.Leaving)),
				}
			}
		}
	}
}

func flattenWorkspaces(document *Document, elements map[elementID]elementFields) {
	for _, workspace := range document.Workspaces {
		elements[newElementID(KindWorkspace, workspace.Name)] = elementFields{
			newField("worth", strconv.Itoa(workspace.Worth)),
			newField("rate", formatRate(workspace.Rate)),
			newField("burst", strconv.FormatInt(workspace.Burst, 10)),
			newField("databases", strings.Join(workspace.Databases, " ")),
		}
		for _, key := range workspace.Keys {
			elements[newElementID(KindKey, key.ID)] = elementFields{
				newField("workspace", workspace.Name),
				newField("hash", key.Hash),
				newField("revoked", strconv.FormatBool(key.Revoked)),
			}
		}
	}
}

func newField(name, value string) elementField {
	return elementField{
		name:  name,
		value: value,
	}
}

func newElementID(kind Kind, name string) elementID {
	return elementID{
		kind: kind,
		name: name,
	}
}

func formatOptional[T any](value *T) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprint(*value)
}

func formatRate(rate float64) string {
	return strconv.FormatFloat(rate, 'g', -1, 64)
}
