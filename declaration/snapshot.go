package declaration

import (
	"slices"
	"time"
)

// RouteSubjectPrefix precedes the name of a route in the name of its subject.
const RouteSubjectPrefix = "route:"

// Snapshot is an indexed version of the document with the active preset applied. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	document           *Document
	preset             Preset
	databases          map[string]*Database
	endpoints          map[string]*Endpoint
	databaseByEndpoint map[string]*Database
	// keys holds the keys by their id.
	keys map[string]KeyOwner
	// regions holds the region of each data centre.
	regions    map[string]string
	routes     map[string]*Route
	subjects   map[string]Subject
	workspaces map[string]*Workspace
}

// KeyOwner is a key and the workspace that it belongs to.
type KeyOwner struct {
	Key       Key
	Workspace string
}

// Subject is what rate limits and scheduling weights apply to: a workspace, or a route,
// which needs no key.
type Subject struct {
	Name  string
	Limit Limit
	// Worth is the scheduling weight.
	Worth int
}

// NewSnapshot indexes a document that passed Validate. The document must not be changed
// afterwards.
func NewSnapshot(document *Document) *Snapshot {
	s := &Snapshot{
		document:           document,
		databases:          map[string]*Database{},
		endpoints:          map[string]*Endpoint{},
		databaseByEndpoint: map[string]*Database{},
		keys:               map[string]KeyOwner{},
		regions:            map[string]string{},
		routes:             map[string]*Route{},
		subjects:           map[string]Subject{},
		workspaces:         map[string]*Workspace{},
	}
	s.indexDataCentres()
	s.indexServices()
	s.indexPreset()
	s.indexRoutes()
	s.indexWorkspaces()
	return s
}

// AllowsDatabase reports whether a workspace may use a database.
func (s *Snapshot) AllowsDatabase(workspace, database string) bool {
	w, ok := s.workspaces[workspace]
	return ok && slices.Contains(w.Databases, database)
}

// Database returns a database by name.
func (s *Snapshot) Database(name string) (*Database, bool) {
	d, ok := s.databases[name]
	return d, ok
}

// DatabaseOf returns the database of an endpoint.
func (s *Snapshot) DatabaseOf(endpoint string) (*Database, bool) {
	d, ok := s.databaseByEndpoint[endpoint]
	return d, ok
}

// Databases returns all databases in the order of the document.
func (s *Snapshot) Databases() []*Database {
	databases := make([]*Database, 0, len(s.document.Services))
	for i := range s.document.Services {
		service := &s.document.Services[i]
		for j := range service.Databases {
			databases = append(databases, &service.Databases[j])
		}
	}
	return databases
}

// Document returns the indexed document; it must not be changed.
func (s *Snapshot) Document() *Document {
	return s.document
}

// Endpoint returns an endpoint by name.
func (s *Snapshot) Endpoint(name string) (*Endpoint, bool) {
	e, ok := s.endpoints[name]
	return e, ok
}

// Key returns a key by id.
func (s *Snapshot) Key(id string) (KeyOwner, bool) {
	k, ok := s.keys[id]
	return k, ok
}

// Preset returns the active preset.
func (s *Snapshot) Preset() Preset {
	return s.preset
}

// RegionOf returns the region of a data centre; empty if the data centre is unknown.
func (s *Snapshot) RegionOf(dataCentre string) string {
	return s.regions[dataCentre]
}

// Route returns a route by name.
func (s *Snapshot) Route(name string) (*Route, bool) {
	r, ok := s.routes[name]
	return r, ok
}

// StoreRegion returns the region of the platform's store.
func (s *Snapshot) StoreRegion() string {
	return s.document.StoreRegion
}

// Subject returns the limit and weight of a workspace, or of a route if the name begins
// with RouteSubjectPrefix, with the active preset applied.
func (s *Snapshot) Subject(name string) (Subject, bool) {
	subject, ok := s.subjects[name]
	return subject, ok
}

// Subjects returns all subjects, sorted by name.
func (s *Snapshot) Subjects() []Subject {
	subjects := make([]Subject, 0, len(s.subjects))
	for _, subject := range s.subjects {
		subjects = append(subjects, subject)
	}
	slices.SortFunc(subjects, func(a, b Subject) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return subjects
}

// Version returns the version of the document.
func (s *Snapshot) Version() uint64 {
	return s.document.Version
}

// Workspace returns a workspace by name.
func (s *Snapshot) Workspace(name string) (*Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

func (s *Snapshot) indexDataCentres() {
	for _, region := range s.document.Regions {
		for _, dataCentre := range region.DataCentres {
			s.regions[dataCentre] = region.Name
		}
	}
}

func (s *Snapshot) indexPreset() {
	s.preset = Preset{
		Name:         s.document.PresetInForce,
		Deadline:     DefaultDeadline,
		MaxQueueWait: DefaultMaxQueueWait,
	}
	for _, preset := range s.document.Presets {
		if preset.Name == s.document.PresetInForce {
			s.preset = preset
		}
	}
}

func (s *Snapshot) indexRoutes() {
	for i := range s.document.Routes {
		route := &s.document.Routes[i]
		s.routes[route.Name] = route
		name := RouteSubjectPrefix + route.Name
		s.subjects[name] = Subject{
			Name: name,
			Limit: Limit{
				Rate:  route.Rate,
				Burst: route.Burst,
			},
			Worth: route.Worth,
		}
	}
}

func (s *Snapshot) indexServices() {
	for _, database := range s.Databases() {
		s.databases[database.Name] = database
		for i := range database.Endpoints {
			endpoint := &database.Endpoints[i]
			s.endpoints[endpoint.Name] = endpoint
			s.databaseByEndpoint[endpoint.Name] = database
		}
	}
}

func (s *Snapshot) indexWorkspaces() {
	for i := range s.document.Workspaces {
		workspace := &s.document.Workspaces[i]
		s.workspaces[workspace.Name] = workspace
		s.subjects[workspace.Name] = s.effectiveSubject(workspace)
		for _, key := range workspace.Keys {
			s.keys[key.ID] = KeyOwner{
				Key:       key,
				Workspace: workspace.Name,
			}
		}
	}
}

// effectiveSubject applies the overrides of the active preset to a workspace.
func (s *Snapshot) effectiveSubject(workspace *Workspace) Subject {
	subject := Subject{
		Name: workspace.Name,
		Limit: Limit{
			Rate:  workspace.Rate,
			Burst: workspace.Burst,
		},
		Worth: workspace.Worth,
	}
	for _, override := range s.preset.Overrides {
		if override.Workspace != workspace.Name {
			continue
		}
		if override.Rate != nil {
			subject.Limit.Rate = *override.Rate
		}
		if override.Burst != nil {
			subject.Limit.Burst = *override.Burst
		}
		if override.Worth != nil {
			subject.Worth = *override.Worth
		}
	}
	return subject
}

// Values that apply if a document has no active preset.
const (
	// DefaultDeadline replaces Preset.Deadline.
	DefaultDeadline = 5 * time.Second
	// DefaultMaxQueueWait replaces Preset.MaxQueueWait.
	DefaultMaxQueueWait = 2 * time.Second
)
