package commands

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
)

// requestKinds contains the values of --kind.
var requestKinds = map[string]operatorv1.RequestKind{
	"read":        operatorv1.RequestKind_REQUEST_KIND_READ,
	"transaction": operatorv1.RequestKind_REQUEST_KIND_TRANSACTION,
	"write":       operatorv1.RequestKind_REQUEST_KIND_WRITE,
}

// explainFlags contains the flags of route explain.
type explainFlags struct {
	database, workspace, route, kind, position, vm string

	maxAge    time.Duration
	hasMaxAge bool
}

func (a *app) addRoute(k *kingpin.Application) {
	command := k.Command("route", "Routing decisions.").
		Command("explain", "Show where a request would be sent now, and why, without sending it.")
	f := &explainFlags{}
	command.Flag("database", "Database of the request. Default: that of --route.").StringVar(&f.database)
	command.Flag("workspace", "Workspace of the request's key.").StringVar(&f.workspace)
	command.Flag("route", "Public route of a request without a key.").StringVar(&f.route)
	command.Flag("kind", "Kind of the request.").Default("read").EnumVar(&f.kind, "read", "write", "transaction")
	command.Flag("position", "Log position that the session requires, as TERM.NUMBER.").StringVar(&f.position)
	command.Flag("max-age", "Maximum age of the data that a read accepts. Default: that of the preset.").IsSetByUser(&f.hasMaxAge).DurationVar(&f.maxAge)
	command.Flag("vm", "VM that receives the request; --proxy must include its operator listener. Default: the first proxy that responds.").StringVar(&f.vm)
	command.Action(a.commandAction(func(ctx context.Context) error {
		request, err := f.request()
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		return a.explainRoute(ctx, request)
	}))
}

func (a *app) explainRoute(ctx context.Context, request *operatorv1.ExplainRouteRequest) error {
	response, err := callAnyProxy(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.ExplainRouteResponse, error) {
		return client.ExplainRoute(ctx, request)
	})
	if isWrongVM(err) {
		return errNoListenerOf(request.GetVm())
	}
	if err != nil {
		return err
	}
	return a.printExplanation(response)
}

// request returns the call for the flags.
func (f *explainFlags) request() (*operatorv1.ExplainRouteRequest, error) {
	if f.workspace == "" && f.route == "" {
		return nil, eris.New("--workspace or --route is required")
	}
	if f.database == "" && f.route == "" {
		return nil, eris.New("--database is required")
	}
	request := &operatorv1.ExplainRouteRequest{
		Vm:        f.vm,
		Database:  f.database,
		Workspace: f.workspace,
		Route:     f.route,
		Kind:      requestKinds[f.kind],
	}
	if f.hasMaxAge {
		request.MaxAge = durationpb.New(f.maxAge)
	}
	if f.position != "" {
		position, err := parsePosition(f.position)
		if err != nil {
			return nil, err
		}
		request.Position = position
	}
	return request, nil
}

// parsePosition parses a log position in the form TERM.NUMBER.
func parsePosition(text string) (*operatorv1.LogPosition, error) {
	term, index, _ := strings.Cut(text, ".")
	position := &operatorv1.LogPosition{}
	var termErr, indexErr error
	position.Term, termErr = strconv.ParseUint(term, 10, 64)
	position.Index, indexErr = strconv.ParseUint(index, 10, 64)
	if termErr != nil || indexErr != nil {
		return nil, eris.Errorf("--position requires TERM.NUMBER, got %q", text)
	}
	return position, nil
}
