package commands

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
)

// listedVersion is a VM in the JSON output of versions.
type listedVersion struct {
	VM      string `json:"vm"`
	Version uint64 `json:"version"`
	// Answered is set if the VM reported its version.
	Answered bool `json:"answered"`
}

func (a *app) addVersions(k *kingpin.Application) {
	command := k.Command("versions", "List the configuration version of every live VM.")
	command.Action(a.commandAction(func(ctx context.Context) error {
		response, err := a.listVersions(ctx)
		if err != nil {
			return err
		}
		versions := []listedVersion{}
		var rows [][]string
		for _, vm := range response.GetVms() {
			versions = append(versions, listedVersion{
				VM:       vm.GetVm(),
				Version:  vm.GetVersion(),
				Answered: vm.GetAnswered(),
			})
			rows = append(rows, []string{vm.GetVm(), strconv.FormatUint(vm.GetVersion(), 10), strconv.FormatBool(vm.GetAnswered())})
		}
		return a.printResult([]string{"VM", "VERSION", "ANSWERED"}, rows, versions)
	}))
}
