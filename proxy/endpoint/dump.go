package endpoint

import (
	"cmp"
	"slices"
)

// dump is the state of a Home, encoded as JSON.
type dump struct {
	Draining     bool              `json:"draining"`
	Endpoints    []endpointDump    `json:"endpoints"`
	InFlight     int               `json:"inFlight"`
	Transactions []transactionDump `json:"transactions"`
}

type endpointDump struct {
	Endpoint        string `json:"endpoint"`
	Address         string `json:"address"`
	ConnectionLimit int    `json:"connectionLimit"`
	Idle            int    `json:"idle"`
	InUse           int    `json:"inUse"`
	Pinned          int    `json:"pinned"`
	Retired         bool   `json:"retired,omitempty"`
	Slots           int    `json:"slots"`
	Steps           int    `json:"steps"`
}

type transactionDump struct {
	ID        string `json:"id"`
	Database  string `json:"database"`
	Endpoint  string `json:"endpoint"`
	Workspace string `json:"workspace"`
}

// Dump returns the state of the home for operators.
func (h *Home) Dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := dump{
		Draining: h.draining,
		InFlight: h.inFlight.Count(),
	}
	for _, c := range h.clients {
		d.Endpoints = append(d.Endpoints, c.dump(false))
	}
	for _, c := range h.retired {
		d.Endpoints = append(d.Endpoints, c.dump(true))
	}
	for _, t := range h.transactions {
		d.Transactions = append(d.Transactions, transactionDump{
			ID:        t.id,
			Database:  t.database,
			Endpoint:  t.endpoint,
			Workspace: t.workspace,
		})
	}
	slices.SortFunc(d.Endpoints, func(a, b endpointDump) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	slices.SortFunc(d.Transactions, func(a, b transactionDump) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

func (c *endpointClient) dump(retired bool) endpointDump {
	steps := c.taskCount()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return endpointDump{
		Endpoint:        c.endpoint,
		Address:         c.pool.address.String(),
		ConnectionLimit: c.settings.connections,
		Idle:            len(c.pool.idle),
		InUse:           c.pool.inUse,
		Pinned:          c.pool.pinned,
		Retired:         retired,
		Slots:           c.settings.slots,
		Steps:           steps,
	}
}
