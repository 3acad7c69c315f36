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
	// versionTimeout is the timeout of the call for a VM's configuration version.
	versionTimeout = time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls to peers for one
	// request.
	maxConcurrentCalls = 64
	stateLive          = "live"
	// viewsTimeout is the timeout for fetching the views of all databases.
	viewsTimeout = 2 * time.Second
)

// GetStatus returns the state of the fleet and of the databases as this VM knows it.
// It fetches the views of databases that this VM does not watch. If that fails, it
// returns this VM's last view, in which the data ages keep growing.
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

// views returns the view of each database. The calls share one timeout, which is less
// than the time that amaranthctl waits for a status.
func (o *Operator) views(ctx context.Context, current *declaration.Snapshot) []routing.DatabaseView {
	callCtx, cancel := timer.WithTimeout(ctx, o.config.Timer, viewsTimeout)
	defer cancel()
	databases := current.Databases()
	views := make([]routing.DatabaseView, len(databases))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, database := range databases {
		group.Go(func() error {
			view, err := o.config.Observer.FetchView(callCtx, database.Name)
			if err != nil {
				o.logger.Info("Could not fetch the view of a database; using this VM's last one.", "database", database.Name, "error", err.Error())
				view, _ = o.config.Observer.View(database.Name)
			}
			views[i] = view
			return nil
		})
	}
	// The functions of the group never return an error.
	_ = group.Wait()
	return views
}

// ListVersions returns the configuration version of each live VM. It queries the VMs
// concurrently.
func (o *Operator) ListVersions(ctx context.Context, _ *operatorv1.ListVersionsRequest) (*operatorv1.ListVersionsResponse, error) {
	live := o.config.Directory.Live()
	response := &operatorv1.ListVersionsResponse{Vms: make([]*operatorv1.VmVersion, len(live))}
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentCalls)
	for i, vm := range live {
		group.Go(func() error {
			response.Vms[i] = o.versionOf(ctx, vm.Name)
			return nil
		})
	}
	return response, group.Wait()
}

// databaseStatus combines the configuration of a database with a view of it.
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
			Role:      member.Role.String(),
			Reachable: member.Reachable,
			Term:      member.LastPosition.Term,
			Index:     member.LastPosition.Index,
			Home:      home.Name,
		}
		if member.AgeKnown {
			memberStatus.Age = durationpb.New(member.Age)
		}
		status.Members = append(status.Members, memberStatus)
	}
	return status
}

// versionOf returns the configuration version of a VM. Answered is false if the VM did
// not respond.
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
	callCtx, cancel := timer.WithTimeout(ctx, o.config.Timer, versionTimeout)
	defer cancel()
	// With the highest possible NewerThan, the response contains the version only and
	// no document.
	response, err := o.config.Dial(address).FetchConfiguration(callCtx, &peerv1.FetchConfigurationRequest{NewerThan: math.MaxUint64})
	if err != nil {
		o.logger.Info("Could not get the configuration version of a VM.", "vm", vm, "error", err.Error())
		return version
	}
	version.Version = response.GetVersion()
	version.Answered = true
	return version
}
