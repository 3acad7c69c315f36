package endpoint

import (
	"cmp"
	"slices"
)

// dump is the state of a Home.
type dump struct {
	Draining     bool              `json:"draining"`
	Endpoints    []nodeDump        `json:"endpoints"`
	InFlight     int               `json:"inFlight"`
	Transactions []transactionDump `json:"transactions"`
}

type nodeDump struct {
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

// Dump returns the state of the home for its operators.
func (h *Home) Dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := dump{
		Draining: h.draining,
		InFlight: h.inFlight.Count(),
	}
	for _, n := range h.nodes {
		d.Endpoints = append(d.Endpoints, n.dump(false))
	}
	for _, n := range h.retired {
		d.Endpoints = append(d.Endpoints, n.dump(true))
	}
	for _, t := range h.transactions {
		d.Transactions = append(d.Transactions, transactionDump{
			ID:        t.id,
			Database:  t.database,
			Endpoint:  t.endpoint,
			Workspace: t.workspace,
		})
	}
	slices.SortFunc(d.Endpoints, func(a, b nodeDump) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	slices.SortFunc(d.Transactions, func(a, b transactionDump) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

func (n *node) dump(retired bool) nodeDump {
	steps := n.queued()
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	return nodeDump{
		Endpoint:        n.endpoint,
		Address:         n.pool.address.String(),
		ConnectionLimit: n.shape.connections,
		Idle:            len(n.pool.idle),
		InUse:           n.pool.taken,
		Pinned:          n.pool.pinned,
		Retired:         retired,
		Slots:           n.shape.slots,
		Steps:           steps,
	}
}
