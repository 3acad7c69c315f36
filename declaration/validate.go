package declaration

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

const (
	// endpointsPerDatabase is 3 because a write is durable on two of three.
	endpointsPerDatabase = 3
	// loanSeconds is the longest time for which a loan of tokens is valid. The
	// shares of a limit leave rate x loanSeconds of the burst unassigned, so a
	// smaller burst would leave nothing to assign.
	loanSeconds = 0.1
	// maxRate in requests per second keeps rate x time within int64.
	maxRate = 1e9
	// maxBurst in requests keeps parts in millionths within int64.
	maxBurst = 1e12
	// maxWorth bounds the ratio of weights in the queues.
	maxWorth = 1_000_000
)

var (
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$`)
)

// Problem is one rule that a document breaks.
type Problem struct {
	// Field is the path of the field, e.g. workspaces[2].rate.
	Field   string
	Message string
}

// ValidationError are all rules that a document breaks.
type ValidationError []Problem

// Error returns one line for each problem.
func (p ValidationError) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Field+": "+problem.Message)
	}
	return strings.Join(lines, "\n")
}

// Validate checks all rules of a document. The error is of type Problems.
func Validate(document *Document) error {
	v := &validator{
		document:    document,
		dataCentres: map[string]string{},
		databases:   map[string]bool{},
		workspaces:  map[string]bool{},
	}
	v.checkRegions()
	v.checkServices()
	v.checkRoutes()
	v.checkWorkspaces()
	v.checkPresets()
	if len(v.problems) == 0 {
		return nil
	}
	return v.problems
}

type validator struct {
	document    *Document
	problems    ValidationError
	dataCentres map[string]string
	databases   map[string]bool
	workspaces  map[string]bool
}

func (v *validator) add(field, format string, arguments ...any) {
	v.problems = append(v.problems, Problem{
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}

func (v *validator) checkEndpoint(path string, endpoint *Endpoint) {
	if v.dataCentres[endpoint.DataCentre] == "" {
		v.add(path+".dataCentre", "data centre %q is in no region", endpoint.DataCentre)
	}
	if !endpoint.Address.IsValid() || endpoint.Address.Port() == 0 {
		v.add(path+".address", "must be an IP address and port")
	}
	if endpoint.Slots < 1 {
		v.add(path+".slots", "must be at least 1, is %d", endpoint.Slots)
	}
	if endpoint.Connections < 1 {
		v.add(path+".connections", "must be at least 1, is %d", endpoint.Connections)
	}
}

// checkLimit names the fields of limit and worth below path, which differ for
// the overrides of a preset.
func (v *validator) checkLimit(path, burstPath string, limit Limit) {
	if !(limit.Rate > 0 && limit.Rate <= maxRate) {
		v.add(path+".rate", "must be above 0 and at most %g, is %g", float64(maxRate), limit.Rate)
		return
	}
	least := int64(math.Ceil(1 + limit.Rate*loanSeconds))
	if limit.Burst < least || limit.Burst > maxBurst {
		v.add(burstPath+".burst", "must be at least 1 + rate x 0.1 s = %d and at most %d, is %d",
			least, int64(maxBurst), limit.Burst)
	}
}

// checkName reports an empty, malformed or repeated name.
func (v *validator) checkName(path, kind, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.add(path, "must not be empty")
	case !namePattern.MatchString(name):
		v.add(path, "name %q must have 1 to 63 letters, digits, dots or hyphens", name)
	case seen[name]:
		v.add(path, "%s %q is given twice", kind, name)
	}
	seen[name] = true
}

func (v *validator) checkRegions() {
	seen := map[string]bool{}
	if len(v.document.Regions) == 0 {
		v.add("regions", "at least one region is needed")
	}
	for i, region := range v.document.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		v.checkName(path+".name", "region", region.Name, seen)
		if len(region.DataCentres) == 0 {
			v.add(path+".dataCentres", "at least one data centre is needed")
		}
		for j, dataCentre := range region.DataCentres {
			dataCentrePath := fmt.Sprintf("%s.dataCentres[%d]", path, j)
			if owner, taken := v.dataCentres[dataCentre]; taken {
				v.add(dataCentrePath, "data centre %q is already in region %q", dataCentre, owner)
				continue
			}
			v.checkName(dataCentrePath, "dataCentre", dataCentre, map[string]bool{})
			v.dataCentres[dataCentre] = region.Name
		}
	}
	if !seen[v.document.StoreRegion] || v.document.StoreRegion == "" {
		v.add("storeRegion", "region %q is not declared", v.document.StoreRegion)
	}
}

func (v *validator) checkRoutes() {
	seen := map[string]bool{}
	for i, route := range v.document.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.checkName(path+".name", "route", route.Name, seen)
		if !v.databases[route.Database] {
			v.add(path+".database", "database %q is not declared", route.Database)
		}
		if len(route.Commands) == 0 {
			v.add(path+".commands", "at least one command is needed")
		}
		for j, command := range route.Commands {
			commandPath := fmt.Sprintf("%s.commands[%d]", path, j)
			if command == "" {
				v.add(commandPath, "must not be empty")
			}
			if slices.Index(route.Commands, command) < j {
				v.add(commandPath, "command %q is given twice", command)
			}
		}
		v.checkLimit(path, path, Limit{
			Rate:  route.Rate,
			Burst: route.Burst,
		})
		v.checkWorth(path, route.Worth)
	}
}

func (v *validator) checkServices() {
	services := map[string]bool{}
	endpoints := map[string]bool{}
	for i, service := range v.document.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path+".name", "service", service.Name, services)
		for j := range service.Databases {
			database := &service.Databases[j]
			databasePath := fmt.Sprintf("%s.databases[%d]", path, j)
			v.checkName(databasePath+".name", "database", database.Name, v.databases)
			if len(database.Endpoints) != endpointsPerDatabase {
				v.add(databasePath+".endpoints", "must be %d endpoints, are %d", endpointsPerDatabase, len(database.Endpoints))
			}
			for k := range database.Endpoints {
				endpointPath := fmt.Sprintf("%s.endpoints[%d]", databasePath, k)
				v.checkName(endpointPath+".name", "endpoint", database.Endpoints[k].Name, endpoints)
				v.checkEndpoint(endpointPath, &database.Endpoints[k])
			}
		}
	}
}

func (v *validator) checkWorkspaces() {
	keys := map[string]bool{}
	for i := range v.document.Workspaces {
		workspace := &v.document.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		v.checkName(path+".name", "workspace", workspace.Name, v.workspaces)
		v.checkLimit(path, path, Limit{
			Rate:  workspace.Rate,
			Burst: workspace.Burst,
		})
		v.checkWorth(path, workspace.Worth)
		for j, database := range workspace.Databases {
			databasePath := fmt.Sprintf("%s.databases[%d]", path, j)
			if !v.databases[database] {
				v.add(databasePath, "database %q is not declared", database)
			}
			if slices.Index(workspace.Databases, database) < j {
				v.add(databasePath, "database %q is given twice", database)
			}
		}
		for j, key := range workspace.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			v.checkName(keyPath+".id", "key", key.ID, keys)
			if !hashPattern.MatchString(key.Hash) {
				v.add(keyPath+".hash", "must be 64 lower-case hexadecimal digits")
			}
		}
	}
}

func (v *validator) checkWorth(path string, worth int) {
	if worth < 1 || worth > maxWorth {
		v.add(path+".worth", "must be from 1 to %d, is %d", maxWorth, worth)
	}
}
