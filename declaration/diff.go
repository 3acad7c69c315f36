package declaration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Difference is one step from one document to another: Added, Changed or Removed.
type Difference interface {
	fmt.Stringer
	difference()
}

// Kind of a part of a document.
type Kind string

// The kinds.
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

// Added is a part that only the new document has.
type Added struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Changed is a field whose value differs.
type Changed struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Removed is a part that only the old document has.
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

// Diff returns the differences from the old document to the new one, sorted by
// kind and name. Version and changes are not compared.
func Diff(before, after *Document) []Difference {
	old := flatten(before)
	current := flatten(after)
	ids := make([]partID, 0, len(old)+len(current))
	for id := range old {
		ids = append(ids, id)
	}
	for id := range current {
		if _, both := old[id]; !both {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b partID) int {
		return strings.Compare(string(a.kind)+"\x00"+a.name, string(b.kind)+"\x00"+b.name)
	})
	var differences []Difference
	for _, id := range ids {
		differences = append(differences, compare(id, old, current)...)
	}
	return differences
}

type partID struct {
	kind Kind
	name string
}

type part []partField

type partField struct {
	name  string
	value string
}

func compare(id partID, old, current map[partID]part) []Difference {
	before, had := old[id]
	after, has := current[id]
	switch {
	case !had:
		return []Difference{Added{
			Kind: id.kind,
			Name: id.name,
		}}
	case !has:
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

func flatten(document *Document) map[partID]part {
	parts := map[partID]part{
		newPartID(KindDocument, "document"): {
			newField("presetInForce", document.PresetInForce),
			newField("storeRegion", document.StoreRegion),
		},
	}
	for _, region := range document.Regions {
		parts[newPartID(KindRegion, region.Name)] = part{newField("dataCentres", strings.Join(region.DataCentres, " "))}
	}
	for _, route := range document.Routes {
		parts[newPartID(KindRoute, route.Name)] = part{
			newField("database", route.Database),
			newField("commands", strings.Join(route.Commands, " ")),
			newField("rate", formatRate(route.Rate)),
			newField("burst", strconv.FormatInt(route.Burst, 10)),
			newField("worth", strconv.Itoa(route.Worth)),
		}
	}
	flattenPresets(document, parts)
	flattenServices(document, parts)
	flattenWorkspaces(document, parts)
	return parts
}

func flattenPresets(document *Document, parts map[partID]part) {
	for _, preset := range document.Presets {
		parts[newPartID(KindPreset, preset.Name)] = part{
			newField("deadline", preset.Deadline.String()),
			newField("maxAge", preset.MaxAge.String()),
			newField("maxQueueWait", preset.MaxQueueWait.String()),
		}
		for _, override := range preset.Overrides {
			parts[newPartID(KindOverride, preset.Name+"/"+override.Workspace)] = part{
				newField("rate", formatOptional(override.Rate)),
				newField("burst", formatOptional(override.Burst)),
				newField("worth", formatOptional(override.Worth)),
			}
		}
	}
}

func flattenServices(document *Document, parts map[partID]part) {
	for _, service := range document.Services {
		parts[newPartID(KindService, service.Name)] = part{}
		for _, database := range service.Databases {
			parts[newPartID(KindDatabase, database.Name)] = part{newField("service", service.Name)}
			for _, endpoint := range database.Endpoints {
				parts[newPartID(KindEndpoint, endpoint.Name)] = part{
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

func flattenWorkspaces(document *Document, parts map[partID]part) {
	for _, workspace := range document.Workspaces {
		parts[newPartID(KindWorkspace, workspace.Name)] = part{
			newField("worth", strconv.Itoa(workspace.Worth)),
			newField("rate", formatRate(workspace.Rate)),
			newField("burst", strconv.FormatInt(workspace.Burst, 10)),
			newField("databases", strings.Join(workspace.Databases, " ")),
		}
		for _, key := range workspace.Keys {
			parts[newPartID(KindKey, key.ID)] = part{
				newField("workspace", workspace.Name),
				newField("hash", key.Hash),
				newField("revoked", strconv.FormatBool(key.Revoked)),
			}
		}
	}
}

func newField(name, value string) partField {
	return partField{
		name:  name,
		value: value,
	}
}

func newPartID(kind Kind, name string) partID {
	return partID{
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
