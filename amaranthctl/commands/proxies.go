package commands

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
	"amaranthdock.dev/timer"
)

const (
	// connectTimeout is short, so that the next proxy is tried quickly.
	connectTimeout = 2 * time.Second
	// readTimeout limits a call that only reads from one proxy.
	readTimeout = 3 * time.Second
	// vmRequestField is the request field that a proxy names in its refusal if the
	// request is for another VM.
	vmRequestField = "vm"
	// changeTimeout exceeds the 10 s that a proxy may need to resolve the outcome of
	// a change.
	changeTimeout = 12 * time.Second
)

// proxyClient is a client of one operator listener.
type proxyClient struct {
	address string
	client  operatorv1connect.OperatorServiceClient
}

// clients returns clients of all proxies. It creates them once and opens no
// connections.
func (a *app) clients() ([]proxyClient, error) {
	if a.proxyClients != nil {
		return a.proxyClients, nil
	}
	if len(a.proxyAddresses) == 0 {
		return nil, withExitCode(exitUsage, eris.New("--proxy or AMARANTHCTL_PROXY is required: IP:PORT of an operator listener"))
	}
	protocols := &http.Protocols{}
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext,
		Protocols:   protocols,
	}
	scheme := "http://"
	protocols.SetUnencryptedHTTP2(true)
	if a.tlsFiles.CAFile != "" {
		config, err := a.tlsFiles.Client()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
		scheme = "https://"
		protocols.SetUnencryptedHTTP2(false)
		protocols.SetHTTP2(true)
	}
	client := &http.Client{Transport: transport}
	for _, address := range a.proxyAddresses {
		a.proxyClients = append(a.proxyClients, proxyClient{
			address: address.String(),
			client:  operatorv1connect.NewOperatorServiceClient(client, scheme+address.String()),
		})
	}
	return a.proxyClients, nil
}

// operatorCall is a call of the operator protocol.
type operatorCall[T any] func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (T, error)

// callAnyProxy calls the proxies in turn until one responds or refuses.
func callAnyProxy[T any](ctx context.Context, a *app, call operatorCall[T]) (T, error) {
	var none T
	proxies, err := a.clients()
	if err != nil {
		return none, err
	}
	for _, p := range proxies {
		var response T
		response, err = callProxy(ctx, a, readTimeout, p, call)
		if err == nil || !shouldTryNextProxy(err) && !isWrongVM(err) {
			return response, err
		}
	}
	return none, err
}

// isWrongVM reports whether a proxy refused because the request is for another VM.
func isWrongVM(err error) bool {
	return refusalOf(err).GetField() == vmRequestField
}

func callProxy[T any](ctx context.Context, a *app, timeout time.Duration, p proxyClient, call operatorCall[T]) (T, error) {
	limited, cancel := timer.WithTimeout(ctx, a.config.Timer, timeout)
	defer cancel()
	response, err := call(limited, p.client)
	if err != nil && a.tlsFiles.CAFile == "" && refusalOf(err) == nil && !isDialError(err) {
		return response, eris.Wrapf(err, "proxy %s (connected without TLS, because --ca-file is absent)", p.address)
	}
	return response, eris.Wrapf(err, "proxy %s", p.address)
}

// shouldTryNextProxy reports whether another proxy may respond differently.
func shouldTryNextProxy(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeAborted, connect.CodeInvalidArgument, connect.CodeFailedPrecondition:
		return false
	default:
		return true
	}
}
