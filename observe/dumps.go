package observe

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

// Dumper is a part of the process whose state can be dumped. Dump returns a struct that
// marshals to camelCase JSON and contains no secrets.
type Dumper interface {
	Dump() any
}

// DumpFunc adapts a function to a Dumper.
type DumpFunc func() any

// Dump calls the function.
func (f DumpFunc) Dump() any { return f() }

// Dumps holds the parts of a process whose state can be dumped.
type Dumps struct {
	timer timer.Service
	vm    string

	mu    sync.Mutex
	parts map[string]Dumper
}

// DumpsConfig configures Dumps.
type DumpsConfig struct {
	Timer timer.Service
	VM    string
}

// Dump is the state of a process.
type Dump struct {
	VM    string         `json:"vm"`
	Time  time.Time      `json:"time"`
	Parts map[string]any `json:"parts"`
}

// NewDumps returns an empty collection.
func NewDumps(config DumpsConfig) *Dumps {
	return &Dumps{
		timer: config.Timer,
		vm:    config.VM,
		parts: map[string]Dumper{},
	}
}

// JSON returns the state of all parts as JSON.
func (d *Dumps) JSON() ([]byte, error) {
	encoded, err := json.Marshal(d.Dump())
	if err != nil {
		return nil, eris.Wrap(err, "encode the state dump")
	}
	return encoded, nil
}

// Dump returns the state of all parts. It calls them without holding the lock.
func (d *Dumps) Dump() Dump {
	d.mu.Lock()
	parts := maps.Clone(d.parts)
	d.mu.Unlock()
	dump := Dump{
		VM:    d.vm,
		Time:  d.timer.Now(),
		Parts: map[string]any{},
	}
	for name, part := range parts {
		dump.Parts[name] = part.Dump()
	}
	return dump
}

// Register adds a part, or replaces the one of the same name.
func (d *Dumps) Register(name string, part Dumper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[name] = part
}
