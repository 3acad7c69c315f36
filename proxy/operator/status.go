package operator

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/timer"
)

const (
	// versionTimeout bounds the question to one VM.
	versionTimeout = time.Second
	// maxVersionCalls bounds the calls to peers at one time.
	maxVersionCalls = 64
	stateLive       = "live"
	// viewsTimeout bounds the questions for the views of all databases.
	viewsTimeout = 2 * time.Second
)

// GetStatus returns this VM's view of the fleet and the databases. A VM that
// watches a database is asked for its view if this one does not; the ages of a
// view that could not be renewed grow.
func (o *Operator) GetStatus(ctx context.Context, _ *operatorv1.GetStatusRequest) (*operatorv1.GetStatusResponse, error) {
	live := o.config.Directory.Live()
	response := &operatorv1.GetStatusResponse{
		Vm:                   o.config.Directory.Self().Name,
		ConfigurationVersion: o.currentVersion(),
		Authorized:           o.config.Configuration.Authorized(),
		AuthorityAge:         durationpb.New(o.config.Configuration.AuthorityAge()),
	}
	for _, vm := range live {
		incarnation, _ := o.config.Directory.Incarnation(vm.Name)
		response.Vms = append(response.Vms, &operatorv1.VmStatus{
			Vm:          vm.Name,
			DataCentre:  vm.DataCentre,
			State:       stateLive,
			Incarnation: incarnation,
		})
	}
	current := o.config.Configuration.Current()
	if current == nil {
		return response, nil
	}
	response.Preset = current.Preset().Name
	views := o.views(ctx, current)
	for i, database := range current.Databases() {
		response.Databases = append(response.Databases, databaseStatus(current, database, views[i], live))
	}
	return response, nil
}

// views returns the view of each database. The calls share one bound, which is
// below the time that amaranthctl waits for a status.
func (o *Operator) views(ctx context.Context, current *declaration.Snapshot) []routing.DatabaseView {
	limited, cancel := timer.WithTimeout(ctx, o.config.Timer, viewsTimeout)
	defer cancel()
	databases := current.Databases()
	views := make([]routing.DatabaseView, len(databases))
	var group errgroup.Group
	group.SetLimit(maxVersionCalls)
	for i, database := range databases {
		group.Go(func() error {
			view, err := o.config.Observer.FetchView(limited, database.Name)
			if err != nil {
				o.logger.Info("No VM gave its view of a database.", "database", database.Name, "error", err.Error())
				view, _ = o.config.Observer.View(database.Name)
			}
			views[i] = view
			return nil
		})
	}
	// The functions of the group return no error.
	_ = group.Wait()
	return views
}

// ListVersions asks all live VMs at once.
func (o *Operator) ListVersions(ctx context.Context, _ *operatorv1.ListVersionsRequest) (*operatorv1.ListVersionsResponse, error) {
	live := o.config.Directory.Live()
	response := &operatorv1.ListVersionsResponse{Vms: make([]*operatorv1.VmVersion, len(live))}
	group := &errgroup.Group{}
	group.SetLimit(maxVersionCalls)
	for i, vm := range live {
		group.Go(func() error {
			response.Vms[i] = o.versionOf(ctx, vm.Name)
			return nil
		})
	}
	return response, group.Wait()
}

func databaseStatus(current *declaration.Snapshot, database *declaration.Database, view routing.DatabaseView, live []routing.VM) *operatorv1.DatabaseStatus {
	status := &operatorv1.DatabaseStatus{
		Database: database.Name,
		Term:     view.Term,
		Primary:  view.Primary,
	}
	for _, endpoint := range database.Endpoints {
		member, _ := view.Member(endpoint.Name)
		home, _ := routing.Home(endpoint.Name, endpoint.DataCentre, current.RegionOf(endpoint.DataCentre), live)
		memberStatus := &operatorv1.MemberStatus{
			Endpoint:  endpoint.Name,
			Role:      roleName(member.Role),
			Reachable: member.Reachable,
			Term:      member.Last.Term,
			Index:     member.Last.Index,
			Home:      home.Name,
		}
		if member.AgeKnown {
			memberStatus.Age = durationpb.New(member.Age)
		}
		status.Members = append(status.Members, memberStatus)
	}
	return status
}

func (o *Operator) versionOf(ctx context.Context, vm string) *operatorv1.VmVersion {
	version := &operatorv1.VmVersion{Vm: vm}
	if vm == o.config.Directory.Self().Name {
		version.Version = o.currentVersion()
		version.Answered = true
		return version
	}
	address, known := o.config.Directory.Address(vm)
	if !known {
		return version
	}
	limited, cancel := timer.WithTimeout(ctx, o.config.Timer, versionTimeout)
	defer cancel()
	// No document is newer than the highest version, so only the version returns.
	answer, err := o.config.Dial(address).FetchConfiguration(limited, &peerv1.FetchConfigurationRequest{NewerThan: math.MaxUint64})
	if err != nil {
		o.logger.Info("A VM did not report its version.", "vm", vm, "error", err.Error())
		return version
	}
	version.Version = answer.GetVersion()
	version.Answered = true
	return version
}

func roleName(role routing.Role) string {
	switch role {
	case routing.RolePrimary:
		return "primary"
	case routing.RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}
