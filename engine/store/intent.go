package store

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
)

// IntentPrefix is followed by the name of a database. The key holds the intent of the last planned
// replacement of its primary or of the last promotion request. It is beside the fencing token, because
// VMs of older builds read that as a number. In the order of keys it comes before it, so that a read
// in pages shows no newer intent than token.
const IntentPrefix = fleetPrefix + "intents/"

// Intent is the value of an intent.
type Intent struct {
	// Primary is the process of the primary that is replaced, and Term the term in which it leads.
	Primary catalog.EndpointKey
	Term    uint64
	Step    takeover.Step
	// Successor is the process to be promoted; set for takeover.Promote and takeover.Request.
	Successor catalog.EndpointKey
	// Contested is true if an earlier request for another endpoint may still take effect.
	Contested bool
	// Cause says why the primary is replaced, for the log.
	Cause string
}

// StoredIntent is an intent and the revision of its key.
type StoredIntent struct {
	Intent
	Revision uint64
	// Superseded is true if a fencing token of the database was reserved after the intent.
	Superseded bool
}

// Intents are the intents that a read of the fleet's keys has shown.
type Intents struct {
	// Revision is the store's revision, and RequestedAt the reading of SinceBoot before the read.
	Revision    uint64
	RequestedAt time.Duration
	// Leaderless is true if no VM was the leader.
	Leaderless bool
	ByDatabase map[string]StoredIntent
}

// intentRecord is the JSON of an intent.
type intentRecord struct {
	Endpoint      string        `json:"endpoint"`
	Born          time.Time     `json:"born"`
	Term          uint64        `json:"term"`
	Step          takeover.Step `json:"step"`
	Successor     string        `json:"successor,omitempty"`
	SuccessorBorn time.Time     `json:"successorBorn,omitzero"`
	Contested     bool          `json:"contested,omitempty"`
	Cause         string        `json:"cause"`
}

// Encode returns the value for the key of the intent.
func (i Intent) Encode() ([]byte, error) {
	value, err := json.Marshal(intentRecord{
		Endpoint:      i.Primary.ID,
		Born:          i.Primary.Born,
		Term:          i.Term,
		Step:          i.Step,
		Successor:     i.Successor.ID,
		SuccessorBorn: i.Successor.Born,
		Contested:     i.Contested,
		Cause:         i.Cause,
	})
	return value, eris.Wrap(err, "encode an intent")
}

// decodeIntent decodes an intent. One of a step that this build does not know is an error.
func decodeIntent(value []byte) (Intent, error) {
	var r intentRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return Intent{}, eris.Wrap(err, "decode the intent")
	}
	// The primary that was lost is not known to a leader that has never seen it.
	isRequest := r.Step == takeover.Request && r.Successor != ""
	isPlanned := r.Endpoint != "" && (r.Step == takeover.StepDown || r.Step == takeover.Promote && r.Successor != "")
	if !isRequest && !isPlanned {
		return Intent{}, eris.New("the intent is not complete or its step is unknown")
	}
	return Intent{
		Primary: catalog.EndpointKey{
			ID:   r.Endpoint,
			Born: r.Born,
		},
		Term: r.Term,
		Step: r.Step,
		Successor: catalog.EndpointKey{
			ID:   r.Successor,
			Born: r.SuccessorBorn,
		},
		Contested: r.Contested,
		Cause:     r.Cause,
	}, nil
}

// DecodeIntents returns the intents among the fleet's keys, by database. It skips those that cannot be
// decoded, and calls onInvalid for them.
func DecodeIntents(items []Item, onInvalid func(key string, err error)) map[string]StoredIntent {
	tokenRevisions := map[string]uint64{}
	for _, item := range items {
		if database, ok := strings.CutPrefix(item.Key, FencingTokenPrefix); ok {
			tokenRevisions[database] = item.Revision
		}
	}
	intents := map[string]StoredIntent{}
	for _, item := range items {
		database, ok := strings.CutPrefix(item.Key, IntentPrefix)
		if !ok {
			continue
		}
		intent, err := decodeIntent(item.Value)
		if err != nil {
			onInvalid(item.Key, err)
			continue
		}
		intents[database] = StoredIntent{
			Intent:     intent,
			Revision:   item.Revision,
			Superseded: tokenRevisions[database] > item.Revision,
		}
	}
	return intents
}

// recordIntents keeps the intents of a read.
func (s *Syncer) recordIntents(items []Item, read *fleetRead) {
	s.intents.Store(&Intents{
		Revision:    read.vms.Revision,
		RequestedAt: read.requestedAt,
		Leaderless:  read.vms.Leader == "",
		ByDatabase: DecodeIntents(items, func(key string, err error) {
			s.config.Log.Info("Could not decode the intent of a leader.", "key", key, "error", err.Error())
		}),
	})
}

// Intents returns the intents that the last read of the fleet's keys has shown; nil if there was
// none.
func (s *Syncer) Intents() *Intents { return s.intents.Load() }
