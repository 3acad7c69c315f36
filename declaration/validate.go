package declaration

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

const (
	// endpointsPerDatabase is 3 because a write is durable once two of three endpoints
	// have stored it.
	endpointsPerDatabase = 3
	// loanTimeoutSeconds is limits.LoanTimeout, the longest time for which a loan of
	// tokens is valid. Of each burst, rate x loanTimeoutSeconds is not assigned to any
	// VM, so a smaller burst would leave nothing to assign.
	loanTimeoutSeconds = 0.1
	// maxRate in requests per second prevents an overflow of rate x time in int64.
	maxRate = 1e9
	// maxBurst in requests prevents an overflow of burst x 1,000,000 in int64, because the
	// shares of a limit are in millionths.
	maxBurst = 1e12
	// maxWorth bounds the ratio between the weights of two requests in a queue.
	maxWorth = 1_000_000
)

var (
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$`)
)

// Violation is one validation rule that a document violates.
type Violation struct {
	// Field is the path of the field, e.g. workspaces[2].rate.
	Field   string
	Message string
}

// ValidationError contains all violations of validation rules in a document.
type ValidationError []Violation

// Error returns one line for each violation.
func (e ValidationError) Error() string {
	lines := make([]string, 0, len(e))
	for _, violation := range e {
		lines = append(lines, violation.Field+": "+violation.Message)
	}
	return strings.Join(lines, "\n")
}

// Validate checks all rules of a document. The error is a ValidationError.
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
	if len(v.violations) == 0 {
		return nil
	}
	return v.violations
}

type validator struct {
	document    *Document
	violations  ValidationError
	dataCentres map[string]string
	databases   map[string]bool
	workspaces  map[string]bool
}

func (v *validator) addViolation(field, format string, arguments ...any) {
	v.violations = append(v.violations, Violation{
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}

func (v *validator) checkEndpoint(path string, endpoint *Endpoint) {
	if v.dataCentres[endpoint.DataCentre] == "" {
		v.addViolation(path+".dataCentre", "data centre %q is not in any region", endpoint.DataCentre)
	}
	if !endpoint.Address.IsValid() || endpoint.Address.Port() == 0 {
		v.addViolation(path+".address", "must be an IP address and port")
	}
	if endpoint.Slots < 1 {
		v.addViolation(path+".slots", "must be at least 1, is %d", endpoint.Slots)
	}
	if endpoint.Connections < 1 {
		v.addViolation(path+".connections", "must be at least 1, is %d", endpoint.Connections)
	}
}

// checkLimit checks a rate limit. Errors are reported for the field rate below path and
// for the field burst below burstPath.
func (v *validator) checkLimit(path, burstPath string, limit Limit) {
	if !(limit.Rate > 0 && limit.Rate <= maxRate) {
		v.addViolation(path+".rate", "must be greater than 0 and at most %g, is %g", float64(maxRate), limit.Rate)
		return
	}
	minBurst := int64(math.Ceil(1 + limit.Rate*loanTimeoutSeconds))
	if limit.Burst < minBurst || limit.Burst > maxBurst {
		v.addViolation(burstPath+".burst", "must be at least 1 + rate x 0.1 s = %d and at most %d, is %d",
			minBurst, int64(maxBurst), limit.Burst)
	}
}

// checkName reports an empty, malformed or duplicate name.
func (v *validator) checkName(path, kind, name string, usedNames map[string]bool) {
	switch {
	case name == "":
		v.addViolation(path, "must not be empty")
	case !namePattern.MatchString(name):
		v.addViolation(path, "name %q must have 1 to 63 letters, digits, dots or hyphens and begin with a letter or digit", name)
	case usedNames[name]:
		v.addViolation(path, "duplicate %s %q", kind, name)
	}
	usedNames[name] = true
}

func (v *validator) checkRegions() {
	usedNames := map[string]bool{}
	if len(v.document.Regions) == 0 {
		v.addViolation("regions", "at least one region is required")
	}
	for i, region := range v.document.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		v.checkName(path+".name", "region", region.Name, usedNames)
		if len(region.DataCentres) == 0 {
			v.addViolation(path+".dataCentres", "at least one data centre is required")
		}
		for j, dataCentre := range region.DataCentres {
			dataCentrePath := fmt.Sprintf("%s.dataCentres[%d]", path, j)
			if otherRegion, duplicate := v.dataCentres[dataCentre]; duplicate {
				v.addViolation(dataCentrePath, "data centre %q is already in region %q", dataCentre, otherRegion)
				continue
			}
			v.checkName(dataCentrePath, "dataCentre", dataCentre, map[string]bool{})
			v.dataCentres[dataCentre] = region.Name
		}
	}
	if !usedNames[v.document.StoreRegion] || v.document.StoreRegion == "" {
		v.addViolation("storeRegion", "region %q is not declared", v.document.StoreRegion)
	}
}

func (v *validator) checkRoutes() {
	usedNames := map[string]bool{}
	for i, route := range v.document.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.checkName(path+".name", "route", route.Name, usedNames)
		if !v.databases[route.Database] {
			v.addViolation(path+".database", "database %q is not declared", route.Database)
		}
		if len(route.Commands) == 0 {
			v.addViolation(path+".commands", "at least one command is required")
		}
		for j, command := range route.Commands {
			commandPath := fmt.Sprintf("%s.commands[%d]", path, j)
			if command == "" {
				v.addViolation(commandPath, "must not be empty")
			}
			if slices.Index(route.Commands, command) < j {
				v.addViolation(commandPath, "duplicate command %q", command)
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
				v.addViolation(databasePath+".endpoints", "must have %d endpoints, has %d", endpointsPerDatabase, len(database.Endpoints))
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
				v.addViolation(databasePath, "database %q is not declared", database)
			}
			if slices.Index(workspace.Databases, database) < j {
				v.addViolation(databasePath, "duplicate database %q", database)
			}
		}
		for j, key := range workspace.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			v.checkName(keyPath+".id", "key", key.ID, keys)
			if !hashPattern.MatchString(key.Hash) {
				v.addViolation(keyPath+".hash", "must be 64 lower-case hexadecimal digits")
			}
		}
	}
}

func (v *validator) checkWorth(path string, worth int) {
	if worth < 1 || worth > maxWorth {
		v.addViolation(path+".worth", "must be between 1 and %d, is %d", maxWorth, worth)
	}
}
