package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
)

func (a *app) addDump(k *kingpin.Application) {
	command := k.Command("dump", "Write the state of a proxy process as JSON, without secrets.")
	vm := command.Flag("vm", "VM that must answer; its operator listener must be among those of --proxy.").String()
	command.Action(a.action(func(ctx context.Context) error {
		answer, err := read(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.GetDumpResponse, error) {
			return client.GetDump(ctx, &operatorv1.GetDumpRequest{Vm: *vm})
		})
		if isOtherVM(err) {
			return eris.Errorf("no --proxy is the operator listener of %s; add it (operatorListen in the settings of that VM)", *vm)
		}
		if err != nil {
			return err
		}
		return a.printText(append(answer.GetDump(), '\n'))
	}))
}
