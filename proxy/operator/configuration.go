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
// the proxy's own snapshot.
const readTimeout = time.Second

// GetConfiguration returns the store's document. It returns the proxy's own
// snapshot if the store does not answer, or answers with an older version.
func (o *Operator) GetConfiguration(ctx context.Context, _ *operatorv1.GetConfigurationRequest) (*operatorv1.GetConfigurationResponse, error) {
	limited, cancel := timer.WithTimeout(ctx, o.config.Timer, readTimeout)
	defer cancel()
	stored, err := o.read(limited)
	own := o.config.Configuration.Current()
	switch {
	case err == nil && stored.found && stored.document.Version >= o.currentVersion():
		return o.encode(stored.document, true)
	case own != nil:
		return o.encode(own.Document(), false)
	case err != nil:
		return nil, o.fail(connect.CodeUnavailable, refusal.NewNotRun(refusal.Unreachable,
			"the store does not answer and this VM has no configuration yet: "+err.Error()))
	default:
		return &operatorv1.GetConfigurationResponse{FromStore: true}, nil
	}
}

func (o *Operator) encode(document *declaration.Document, fromStore bool) (*operatorv1.GetConfigurationResponse, error) {
	plain, err := json.Marshal(document)
	if err != nil {
		return nil, o.fail(connect.CodeInternal, refusal.NewNotRun(refusal.Internal, err.Error()))
	}
	return &operatorv1.GetConfigurationResponse{
		Document:  plain,
		Version:   document.Version,
		FromStore: fromStore,
	}, nil
}

// stored is the document as the store has it; empty, with version 0, if there is
// none.
type stored struct {
	document *declaration.Document
	revision uint64
	found    bool
}

func (o *Operator) read(ctx context.Context) (stored, error) {
	entry, err := o.config.Store.Get(ctx, ConfigurationKey)
	if err != nil {
		return stored{}, err
	}
	if !entry.Found {
		return stored{document: &declaration.Document{}}, nil
	}
	document, err := declaration.Decode(entry.Value)
	if err != nil {
		return stored{}, err
	}
	return stored{
		document: document,
		revision: entry.Revision,
		found:    true,
	}, nil
}
