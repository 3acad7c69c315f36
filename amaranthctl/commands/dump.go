package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
)

// errNoListenerOf returns the error of a command whose --vm none of the proxies is.
func errNoListenerOf(vm string) error {
	return eris.Errorf("no --proxy address is the operator listener of %s; add it (operatorListen in the settings of that VM)", vm)
}

func (a *app) addDump(k *kingpin.Application) {
	command := k.Command("dump", "Print the state of a proxy process as JSON, without secrets.")
	vm := command.Flag("vm", "VM whose state to print; --proxy must include its operator listener. Default: the first proxy that responds.").String()
	command.Action(a.commandAction(func(ctx context.Context) error {
		response, err := callAnyProxy(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.GetDumpResponse, error) {
			return client.GetDump(ctx, &operatorv1.GetDumpRequest{Vm: *vm})
		})
		if isWrongVM(err) {
			return errNoListenerOf(*vm)
		}
		if err != nil {
			return err
		}
		return a.printText(append(response.GetDump(), '\n'))
	}))
}
