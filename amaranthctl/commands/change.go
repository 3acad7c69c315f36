package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/timer"
)

const (
	// changeAttemptsPerProxy is the number of attempts to send a change to each proxy.
	changeAttemptsPerProxy = 3
	// changeRetryDelay is the delay before all proxies are tried again.
	changeRetryDelay = 500 * time.Millisecond
	// versionPollInterval is the interval at which the VMs' versions are polled.
	versionPollInterval = 250 * time.Millisecond
)

// change is one change of the configuration document.
type change struct {
	id      string
	summary string
	// expected is the version of the document that the change is based on.
	expected uint64
	document *declaration.Document
}

// changeResult is the JSON output of a change.
type changeResult struct {
	ChangeID string `json:"changeId"`
	Version  uint64 `json:"version"`
	// Everywhere is set if every live VM reported the version.
	Everywhere bool `json:"everywhere"`
	// Missing lists the live VMs that did not report the version in time.
	Missing []string `json:"missing,omitempty"`
	// Key is the secret text of a new key, which no other command shows.
	Key string `json:"key,omitempty"`
}

// currentDocument returns the current configuration document; an empty one if
// there is none yet.
func (a *app) currentDocument(ctx context.Context) (*declaration.Document, error) {
	response, err := callAnyProxy(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.GetConfigurationResponse, error) {
		return client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
	})
	if err != nil {
		return nil, err
	}
	document := &declaration.Document{}
	if len(response.GetDocument()) == 0 {
		return document, nil
	}
	if err := json.Unmarshal(response.GetDocument(), document); err != nil {
		return nil, eris.Wrap(err, "decode the configuration document")
	}
	return document, nil
}

// editDocument reads the configuration document, applies an edit and submits the
// result. key is the secret text of a new key, or empty.
func (a *app) editDocument(ctx context.Context, summary, key string, apply func(document *declaration.Document) error) error {
	document, err := a.currentDocument(ctx)
	if err != nil {
		return err
	}
	if err := apply(document); err != nil {
		return err
	}
	if err := declaration.Validate(document); err != nil {
		return eris.Wrap(err, summary)
	}
	return a.submitChange(ctx, key, change{
		id:       uuid.NewString(),
		summary:  summary,
		expected: document.Version,
		document: document,
	})
}

// submitChange sends a change, waits until it is active on all live VMs and prints
// the result.
func (a *app) submitChange(ctx context.Context, key string, c change) error {
	version, err := a.sendChange(ctx, c)
	if err != nil {
		return err
	}
	missing, err := a.waitForAllVMs(ctx, version)
	result := changeResult{
		ChangeID:   c.id,
		Version:    version,
		Everywhere: a.wait > 0 && err == nil && len(missing) == 0,
		Missing:    missing,
		Key:        key,
	}
	rows := [][]string{{fmt.Sprint(version), c.id, fmt.Sprint(result.Everywhere), strings.Join(missing, " "), key}}
	if printErr := a.printResult([]string{"VERSION", "CHANGE", "EVERYWHERE", "MISSING", "KEY"}, rows, result); printErr != nil {
		return printErr
	}
	switch {
	case len(missing) > 0:
		return withExitCode(exitNotOnAllVMs, eris.Errorf("version %d is accepted, but not yet active on: %s", version, strings.Join(missing, ", ")))
	case err != nil:
		return withExitCode(exitNotOnAllVMs, eris.Wrapf(err, "version %d is accepted, but the versions of the VMs could not be read", version))
	}
	return nil
}

// sendChange tries the proxies in turn until one accepts the change, and returns
// the new version. All attempts use the same change ID, so that a change whose
// response was lost is not applied twice.
func (a *app) sendChange(ctx context.Context, c change) (uint64, error) {
	encoded, err := json.Marshal(c.document)
	if err != nil {
		return 0, eris.Wrap(err, "encode the configuration document")
	}
	proxies, err := a.clients()
	if err != nil {
		return 0, err
	}
	request := &operatorv1.ChangeConfigurationRequest{
		Document:        encoded,
		ExpectedVersion: c.expected,
		ChangeId:        c.id,
		Author:          a.author,
		Summary:         c.summary,
	}
	// outcomeUnknown is set once an attempt may have taken effect. A later attempt
	// that is refused with the outcome "not run" does not change that, unless it is
	// refused because of a conflict: the proxy first checks whether the document
	// already contains the change.
	outcomeUnknown := false
	var lastErr error
	for round := range changeAttemptsPerProxy {
		if round > 0 && timer.Sleep(ctx, a.config.Timer, changeRetryDelay) != nil {
			break
		}
		for _, p := range proxies {
			response, err := callProxy(ctx, a, changeTimeout, p, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.ChangeConfigurationResponse, error) {
				return client.ChangeConfiguration(ctx, request)
			})
			if err == nil {
				return response.GetVersion(), nil
			}
			lastErr = err
			if isConflict(err) && isNotRun(err) {
				return 0, withExitCode(exitConflict, err)
			}
			if isNotRun(err) && !shouldTryNextProxy(err) && !outcomeUnknown {
				return 0, err
			}
			outcomeUnknown = outcomeUnknown || !isNotRun(err) && !isDialError(err)
		}
	}
	if outcomeUnknown {
		return 0, withExitCode(exitOutcomeUnknown, eris.Wrapf(lastErr, "the outcome of change %s is unknown; it was applied if show --output json lists it among the changes", c.id))
	}
	return 0, lastErr
}

// waitForAllVMs polls until every live VM reports the version, and returns the VMs
// that did not report it in time.
func (a *app) waitForAllVMs(ctx context.Context, version uint64) ([]string, error) {
	if a.wait <= 0 {
		return nil, nil
	}
	limited, cancel := timer.WithTimeout(ctx, a.config.Timer, a.wait)
	defer cancel()
	// A poll that fails, for example because the wait ends, does not replace the
	// latest response.
	var missing []string
	for {
		response, err := a.listVersions(limited)
		if err == nil {
			missing = vmsWithoutVersion(response, version)
		}
		if err == nil && len(missing) == 0 {
			return nil, nil
		}
		if timer.Sleep(limited, a.config.Timer, versionPollInterval) != nil {
			return missing, err
		}
	}
}

func (a *app) listVersions(ctx context.Context) (*operatorv1.ListVersionsResponse, error) {
	return callAnyProxy(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.ListVersionsResponse, error) {
		return client.ListVersions(ctx, &operatorv1.ListVersionsRequest{})
	})
}

func vmsWithoutVersion(response *operatorv1.ListVersionsResponse, version uint64) []string {
	var vms []string
	for _, vm := range response.GetVms() {
		if !vm.GetAnswered() || vm.GetVersion() < version {
			vms = append(vms, vm.GetVm())
		}
	}
	return vms
}
