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
	// connectTimeout is short, so that the next proxy is tried soon.
	connectTimeout = 2 * time.Second
	// readAttempt bounds a read at one proxy.
	readAttempt = 3 * time.Second
	// vmField of a request names the VM that must answer.
	vmField = "vm"
	// changeAttempt is above the 10 s that a proxy takes to resolve a change.
	changeAttempt = 12 * time.Second
)

// proxy is one operator listener.
type proxy struct {
	address string
	client  operatorv1connect.OperatorServiceClient
}

// dial returns clients of all proxies, the same ones each time; it opens no
// connection yet.
func (a *app) dial() ([]proxy, error) {
	if a.dialed != nil {
		return a.dialed, nil
	}
	if len(a.proxies) == 0 {
		return nil, withCode(exitUsage, eris.New("--proxy or AMARANTHCTL_PROXY is needed: IP:PORT of an operator listener"))
	}
	protocols := &http.Protocols{}
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext,
		Protocols:   protocols,
	}
	scheme := "http://"
	protocols.SetUnencryptedHTTP2(true)
	if a.files.CAFile != "" {
		config, err := a.files.Client()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
		scheme = "https://"
		protocols.SetUnencryptedHTTP2(false)
		protocols.SetHTTP2(true)
	}
	client := &http.Client{Transport: transport}
	for _, address := range a.proxies {
		a.dialed = append(a.dialed, proxy{
			address: address.String(),
			client:  operatorv1connect.NewOperatorServiceClient(client, scheme+address.String()),
		})
	}
	return a.dialed, nil
}

// request is a call of the operator protocol.
type request[T any] func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (T, error)

// read calls the proxies in turn until one answers or refuses.
func read[T any](ctx context.Context, a *app, call request[T]) (T, error) {
	var none T
	proxies, err := a.dial()
	if err != nil {
		return none, err
	}
	for _, p := range proxies {
		var answer T
		answer, err = attempt(ctx, a, readAttempt, p, call)
		if err == nil || !tryNext(err) && !isOtherVM(err) {
			return answer, err
		}
	}
	return none, err
}

// isOtherVM tells whether a proxy refused because another VM was asked for.
func isOtherVM(err error) bool {
	return refusalOf(err).GetField() == vmField
}

func attempt[T any](ctx context.Context, a *app, limit time.Duration, p proxy, call request[T]) (T, error) {
	limited, cancel := timer.WithTimeout(ctx, a.config.Timer, limit)
	defer cancel()
	answer, err := call(limited, p.client)
	if err != nil && a.files.CAFile == "" && refusalOf(err) == nil && !notSent(err) {
		return answer, eris.Wrapf(err, "proxy %s (plain text, because --ca-file is absent)", p.address)
	}
	return answer, eris.Wrapf(err, "proxy %s", p.address)
}

// tryNext tells whether another proxy may give another answer.
func tryNext(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeAborted, connect.CodeInvalidArgument, connect.CodeFailedPrecondition:
		return false
	default:
		return true
	}
}
