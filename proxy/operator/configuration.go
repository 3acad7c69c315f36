package operator

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/timer"
)

// readTimeout is how long GetConfiguration waits for the store before it returns
// this VM's snapshot of the configuration.
const readTimeout = time.Second

// GetConfiguration returns the document from the store. If the store does not respond
// or returns an older version than this VM's snapshot, it returns the snapshot.
func (o *Operator) GetConfiguration(ctx context.Context, _ *operatorv1.GetConfigurationRequest) (*operatorv1.GetConfigurationResponse, error) {
	callCtx, cancel := timer.WithTimeout(ctx, o.config.Timer, readTimeout)
	defer cancel()
	stored, err := o.readStored(callCtx)
	snapshot := o.config.Configuration.Current()
	switch {
	case err == nil && stored.found && stored.document.Version >= o.currentVersion():
		return o.encodeResponse(stored.document, true)
	case snapshot != nil:
		return o.encodeResponse(snapshot.Document(), false)
	case err != nil:
		return nil, o.refusalError(connect.CodeUnavailable, refusal.NewNotRun(refusal.Unreachable,
			"the store is unreachable and this VM has no configuration yet: "+err.Error()))
	default:
		return &operatorv1.GetConfigurationResponse{FromStore: true}, nil
	}
}

func (o *Operator) encodeResponse(document *declaration.Document, fromStore bool) (*operatorv1.GetConfigurationResponse, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, o.refusalError(connect.CodeInternal, refusal.NewNotRun(refusal.Internal, err.Error()))
	}
	return &operatorv1.GetConfigurationResponse{
		Document:  encoded,
		Version:   document.Version,
		FromStore: fromStore,
	}, nil
}

// storedDocument is the document in the store and the revision of its key. If there is
// none, the document is empty and has version 0.
type storedDocument struct {
	document *declaration.Document
	revision uint64
	found    bool
}

func (o *Operator) readStored(ctx context.Context) (storedDocument, error) {
	entry, err := o.config.Store.Get(ctx, ConfigurationKey)
	if err != nil {
		return storedDocument{}, err
	}
	if !entry.Found {
		return storedDocument{document: &declaration.Document{}}, nil
	}
	document, err := declaration.Decode(entry.Value)
	if err != nil {
		return storedDocument{}, err
	}
	return storedDocument{
		document: document,
		revision: entry.Revision,
		found:    true,
	}, nil
}
