package commands

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
)

func (a *app) addStatus(k *kingpin.Application) {
	command := k.Command("status", "Show a proxy's view of the fleet and the databases.")
	command.Action(a.commandAction(func(ctx context.Context) error {
		status, err := callAnyProxy(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.GetStatusResponse, error) {
			return client.GetStatus(ctx, &operatorv1.GetStatusRequest{})
		})
		if err != nil {
			return err
		}
		return a.printStatus(status)
	}))
}

func (a *app) printStatus(status *operatorv1.GetStatusResponse) error {
	if a.output == outputJSON {
		return a.printMessage(status)
	}
	text := fmt.Sprintf("%s: version %d, preset %s, authorized %t, authority age %s\n\n", status.GetVm(),
		status.GetConfigurationVersion(), status.GetPreset(), status.GetAuthorized(), roundAge(status.GetAuthorityAge().AsDuration()))
	if err := a.printText([]byte(text)); err != nil {
		return err
	}
	var vms [][]string
	for _, vm := range status.GetVms() {
		vms = append(vms, []string{vm.GetVm(), vm.GetDataCentre(), vm.GetState(), fmt.Sprint(vm.GetIncarnation())})
	}
	if err := a.printResult([]string{"VM", "PLACE", "STATE", "INCARNATION"}, vms, nil); err != nil {
		return err
	}
	if err := a.printText([]byte("\n")); err != nil {
		return err
	}
	var members [][]string
	for _, database := range status.GetDatabases() {
		for _, member := range database.GetMembers() {
			members = append(members, memberRow(database, member))
		}
	}
	return a.printResult([]string{"DATABASE", "TERM", "ENDPOINT", "ROLE", "REACHABLE", "POSITION", "AGE", "HOME"}, members, nil)
}

// roundAge rounds an age for display: to milliseconds below 10 s, else to tenths of
// a second.
func roundAge(age time.Duration) time.Duration {
	if age < 10*time.Second {
		return age.Round(time.Millisecond)
	}
	return age.Round(100 * time.Millisecond)
}

func memberRow(database *operatorv1.DatabaseStatus, member *operatorv1.MemberStatus) []string {
	age := "-"
	if member.GetAge() != nil {
		age = roundAge(member.GetAge().AsDuration()).String()
	}
	return []string{
		database.GetDatabase(),
		fmt.Sprint(database.GetTerm()),
		member.GetEndpoint(),
		member.GetRole(),
		fmt.Sprint(member.GetReachable()),
		fmt.Sprintf("%d/%d", member.GetTerm(), member.GetIndex()),
		age,
		member.GetHome(),
	}
}
