package commands

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
)

// listedVersion is a VM of the output.
type listedVersion struct {
	VM       string `json:"vm"`
	Version  uint64 `json:"version"`
	Answered bool   `json:"answered"`
}

func (a *app) addVersions(k *kingpin.Application) {
	command := k.Command("versions", "List the configuration version of every live VM.")
	command.Action(a.action(func(ctx context.Context) error {
		answer, err := a.versions(ctx)
		if err != nil {
			return err
		}
		versions := []listedVersion{}
		var rows [][]string
		for _, vm := range answer.GetVms() {
			versions = append(versions, listedVersion{
				VM:       vm.GetVm(),
				Version:  vm.GetVersion(),
				Answered: vm.GetAnswered(),
			})
			rows = append(rows, []string{vm.GetVm(), strconv.FormatUint(vm.GetVersion(), 10), strconv.FormatBool(vm.GetAnswered())})
		}
		return a.print([]string{"VM", "VERSION", "ANSWERED"}, rows, versions)
	}))
}
