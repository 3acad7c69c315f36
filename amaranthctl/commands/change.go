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
	// changeRounds is how often all proxies are tried in turn.
	changeRounds = 3
	// changePause is the wait between the rounds.
	changePause = 500 * time.Millisecond
	// versionsInterval is the wait between questions for the VMs' versions.
	versionsInterval = 250 * time.Millisecond
)

// change is one change of the document.
type change struct {
	id       string
	summary  string
	expected uint64
	document *declaration.Document
}

// changeResult is the output of a change.
type changeResult struct {
	ChangeID string `json:"changeId"`
	Version  uint64 `json:"version"`
	// Everywhere is set once every live VM has reported the version.
	Everywhere bool     `json:"everywhere"`
	Missing    []string `json:"missing,omitempty"`
	// Key is the text of a new key, shown only here.
	Key string `json:"key,omitempty"`
}

// current returns the newest document, which is empty if there is none yet.
func (a *app) current(ctx context.Context) (*declaration.Document, error) {
	answer, err := read(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.GetConfigurationResponse, error) {
		return client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
	})
	if err != nil {
		return nil, err
	}
	document := &declaration.Document{}
	if len(answer.GetDocument()) == 0 {
		return document, nil
	}
	if err := json.Unmarshal(answer.GetDocument(), document); err != nil {
		return nil, eris.Wrap(err, "decode the document")
	}
	return document, nil
}

// edit reads the document, changes it and puts it in force. key is the text of a
// new key, or empty.
func (a *app) edit(ctx context.Context, summary, key string, apply func(document *declaration.Document) error) error {
	document, err := a.current(ctx)
	if err != nil {
		return err
	}
	if err := apply(document); err != nil {
		return err
	}
	if err := declaration.Validate(document); err != nil {
		return eris.Wrap(err, summary)
	}
	return a.put(ctx, key, change{
		id:       uuid.NewString(),
		summary:  summary,
		expected: document.Version,
		document: document,
	})
}

// put sends a change, waits for all VMs and writes the result.
func (a *app) put(ctx context.Context, key string, c change) error {
	version, err := a.send(ctx, c)
	if err != nil {
		return err
	}
	missing, err := a.waitEverywhere(ctx, version)
	result := changeResult{
		ChangeID:   c.id,
		Version:    version,
		Everywhere: a.wait > 0 && err == nil && len(missing) == 0,
		Missing:    missing,
		Key:        key,
	}
	rows := [][]string{{fmt.Sprint(version), c.id, fmt.Sprint(result.Everywhere), strings.Join(missing, " "), key}}
	if printErr := a.print([]string{"VERSION", "CHANGE", "EVERYWHERE", "MISSING", "KEY"}, rows, result); printErr != nil {
		return printErr
	}
	switch {
	case len(missing) > 0:
		return withCode(exitNotEverywhere, eris.Errorf("version %d is accepted, but not yet on: %s", version, strings.Join(missing, ", ")))
	case err != nil:
		return withCode(exitNotEverywhere, eris.Wrapf(err, "version %d is accepted, but the VMs did not report theirs", version))
	}
	return nil
}

// send keeps the change id over all proxies and rounds, so that a change whose
// answer was lost is not made twice.
func (a *app) send(ctx context.Context, c change) (uint64, error) {
	plain, err := json.Marshal(c.document)
	if err != nil {
		return 0, eris.Wrap(err, "encode the document")
	}
	proxies, err := a.dial()
	if err != nil {
		return 0, err
	}
	message := &operatorv1.ChangeConfigurationRequest{
		Document:        plain,
		ExpectedVersion: c.expected,
		ChangeId:        c.id,
		Author:          a.author,
		Summary:         c.summary,
	}
	// uncertain is set once a try may have had an effect. A later refusal as not
	// run then speaks of its own try only, unless it is a conflict.
	uncertain := false
	var last error
	for round := range changeRounds {
		if round > 0 && timer.Sleep(ctx, a.config.Timer, changePause) != nil {
			break
		}
		for _, p := range proxies {
			answer, err := attempt(ctx, a, changeAttempt, p, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.ChangeConfigurationResponse, error) {
				return client.ChangeConfiguration(ctx, message)
			})
			if err == nil {
				return answer.GetVersion(), nil
			}
			last = err
			if isConflict(err) && isNotRun(err) {
				return 0, withCode(exitConflict, err)
			}
			if isNotRun(err) && !tryNext(err) && !uncertain {
				return 0, err
			}
			uncertain = uncertain || !isNotRun(err) && !notSent(err)
		}
	}
	if uncertain {
		return 0, withCode(exitUnknown, eris.Wrapf(last, "the outcome of change %s is unknown; if it is among the changes of show --output json, it is in force", c.id))
	}
	return 0, last
}

// waitEverywhere returns the live VMs that did not report the version in time.
func (a *app) waitEverywhere(ctx context.Context, version uint64) ([]string, error) {
	if a.wait <= 0 {
		return nil, nil
	}
	limited, cancel := timer.WithTimeout(ctx, a.config.Timer, a.wait)
	defer cancel()
	// A question that the end of the wait cuts off does not replace the latest
	// answer.
	var missing []string
	for {
		answer, err := a.versions(limited)
		if err == nil {
			missing = missingOf(answer, version)
		}
		if err == nil && len(missing) == 0 {
			return nil, nil
		}
		if timer.Sleep(limited, a.config.Timer, versionsInterval) != nil {
			return missing, err
		}
	}
}

func (a *app) versions(ctx context.Context) (*operatorv1.ListVersionsResponse, error) {
	return read(ctx, a, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) (*operatorv1.ListVersionsResponse, error) {
		return client.ListVersions(ctx, &operatorv1.ListVersionsRequest{})
	})
}

func missingOf(answer *operatorv1.ListVersionsResponse, version uint64) []string {
	var missing []string
	for _, vm := range answer.GetVms() {
		if !vm.GetAnswered() || vm.GetVersion() < version {
			missing = append(missing, vm.GetVm())
		}
	}
	return missing
}
