// Package memory decides how the memory of a process is shared by the connections of its callers,
// and which connection is closed when memory or descriptors run out.
package memory

import (
	"cmp"
	"slices"
)

// The budget has four parts, so that a holder of one part that waits for another does not wait for
// itself: the beginning of a message for its rest, and a message for the answer of the endpoint.
// With a common part, connections with the beginnings of long messages used up the memory that each
// of them needed for the rest.
const (
	// partDivisor gives the unit in which the parts are measured.
	partDivisor = 8
	// fixedParts are for the connections themselves, smallParts for holders of up to SmallHolding,
	// answerParts for answers of endpoints that are being read, and largeParts for other holders.
	fixedParts, smallParts, answerParts, largeParts = 3, 1, 1, 3
	// anonymousDivisor gives the part of the memory for large holders that those without a key may
	// use.
	anonymousDivisor = 3
	// SmallHolding is the memory in bytes up to which a holder is small. It is far above what the
	// messages and the session of an ordinary caller take.
	SmallHolding = 64 << 10
)

// Anonymous is the group of callers without a key.
const Anonymous = ""

// Weight returns the weight of a group: its share of the memory relative to that of others.
func Weight(group string) float64 {
	if group == Anonymous {
		return 1.0 / anonymousDivisor
	}
	return 1
}

// Budget is the memory of a process that its callers may use. It is not safe for concurrent use.
type Budget struct {
	total int64
	// fixed, small, answers and large are the bytes in use of the parts.
	fixed, small, answers, large int64
	holders                      map[uint64]*holding
	groups                       map[string]*group
}

// holding is the memory of one holder.
type holding struct {
	group *group
	held  int64
	// answers is set for holders of answers of endpoints.
	answers bool
}

// isLargeWith reports whether a holder with a number of bytes uses the part for large holders.
func (h *holding) isLargeWith(held int64) bool { return !h.answers && held > SmallHolding }

// group is a workspace with holders.
type group struct {
	name    string
	holders int
	// large are the bytes of its large holders, used those of all.
	large, used int64
	waiting     []waiting
}

// waiting is a request of a holder that was not granted yet.
type waiting struct {
	id    uint64
	bytes int64
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{
		total:   total,
		holders: map[uint64]*holding{},
		groups:  map[string]*group{},
	}
}

// Used returns the bytes that are in use.
func (b *Budget) Used() int64 { return b.fixed + b.small + b.answers + b.large }

// MaxAnswer returns the largest answer of an endpoint that a budget of a number of bytes allows.
func MaxAnswer(total int64) int64 { return total / partDivisor * answerParts }

// MaxFixed returns the memory for connections that a budget of a number of bytes allows.
func MaxFixed(total int64) int64 { return total / partDivisor * fixedParts }

// UsedBy returns the bytes that the holders of a group use, without those of TakeFixed.
func (b *Budget) UsedBy(name string) int64 {
	if g, ok := b.groups[name]; ok {
		return g.used
	}
	return 0
}

// Held returns the bytes that a holder uses.
func (b *Budget) Held(id uint64) int64 {
	if h, ok := b.holders[id]; ok {
		return h.held
	}
	return 0
}

// TakeFixed takes the memory of a connection itself. It returns false if it does not fit.
func (b *Budget) TakeFixed(bytes int64) bool {
	if b.fixed+bytes > MaxFixed(b.total) {
		return false
	}
	b.fixed += bytes
	return true
}

// ReleaseFixed returns memory of TakeFixed.
func (b *Budget) ReleaseFixed(bytes int64) { b.fixed -= bytes }

// Add adds a holder without memory to a group.
func (b *Budget) Add(id uint64, name string) {
	b.holders[id] = &holding{group: b.join(name)}
}

// AddAnswers adds a holder of answers of endpoints to a group.
func (b *Budget) AddAnswers(id uint64, name string) {
	b.holders[id] = &holding{
		group:   b.join(name),
		answers: true,
	}
}

// Remove removes a holder, its memory and its waiting request.
func (b *Budget) Remove(id uint64) {
	h, ok := b.holders[id]
	if !ok {
		return
	}
	b.Cancel(id)
	b.change(h, -h.held)
	b.leave(h.group)
	delete(b.holders, id)
}

// Regroup moves a holder to another group.
func (b *Budget) Regroup(id uint64, name string) {
	h := b.holders[id]
	held := h.held
	b.change(h, -held)
	b.leave(h.group)
	h.group = b.join(name)
	b.change(h, held)
}

// Take takes memory. It returns false if the memory is not free, if the group has used up its
// share, or if others of the group wait for memory already.
func (b *Budget) Take(id uint64, bytes int64) bool {
	h := b.holders[id]
	if h.isLargeWith(h.held+bytes) && slices.ContainsFunc(h.group.waiting, b.waitsForLarge) || !b.fits(h, bytes) {
		return false
	}
	b.change(h, bytes)
	return true
}

// Wait adds a request that Next will grant. A holder waits for one request at a time.
func (b *Budget) Wait(id uint64, bytes int64) {
	g := b.holders[id].group
	g.waiting = append(g.waiting, waiting{
		id:    id,
		bytes: bytes,
	})
}

// Cancel removes a waiting request. It returns false if none waits.
func (b *Budget) Cancel(id uint64) bool {
	h, ok := b.holders[id]
	if !ok {
		return false
	}
	before := len(h.group.waiting)
	h.group.waiting = slices.DeleteFunc(h.group.waiting, func(w waiting) bool { return w.id == id })
	return len(h.group.waiting) < before
}

// Next grants the next waiting request that fits and returns its holder. The group that uses the
// least memory for its weight comes first; within a group the requests of large holders keep their
// order.
func (b *Budget) Next() (uint64, bool) {
	var order []*group
	for _, g := range b.groups {
		if len(g.waiting) > 0 {
			order = append(order, g)
		}
	}
	slices.SortFunc(order, func(x, y *group) int {
		return cmp.Or(cmp.Compare(float64(x.used)/Weight(x.name), float64(y.used)/Weight(y.name)), cmp.Compare(x.name, y.name))
	})
	for _, g := range order {
		largeWaits := false
		for i, w := range g.waiting {
			large := b.waitsForLarge(w)
			if h := b.holders[w.id]; !(large && largeWaits) && b.fits(h, w.bytes) {
				g.waiting = slices.Delete(g.waiting, i, i+1)
				b.change(h, w.bytes)
				return w.id, true
			}
			largeWaits = largeWaits || large
		}
	}
	return 0, false
}

// Release returns memory of a holder.
func (b *Budget) Release(id uint64, bytes int64) {
	if h, ok := b.holders[id]; ok {
		b.change(h, -min(bytes, h.held))
	}
}

// LimitedByGroup reports whether a request waits only because of the share of its group, so that
// memory of other groups would not help.
func (b *Budget) LimitedByGroup(id uint64, bytes int64) bool {
	h, ok := b.holders[id]
	return ok && h.group.name == Anonymous && h.isLargeWith(h.held+bytes) && b.large+h.growth(bytes) <= b.largeTotal()
}

// largeTotal returns the size of the part for large holders.
func (b *Budget) largeTotal() int64 { return b.total / partDivisor * largeParts }

func (b *Budget) waitsForLarge(w waiting) bool {
	h := b.holders[w.id]
	return h.isLargeWith(h.held + w.bytes)
}

// growth returns by how much the part for large holders grows if a holder that is large then gets
// more.
func (h *holding) growth(bytes int64) int64 {
	if h.isLargeWith(h.held) {
		return bytes
	}
	return h.held + bytes
}

// fits reports whether a holder may get more now.
func (b *Budget) fits(h *holding, bytes int64) bool {
	switch {
	case h.answers:
		return b.answers+bytes <= MaxAnswer(b.total)
	case !h.isLargeWith(h.held + bytes):
		return b.small+bytes <= b.total/partDivisor*smallParts
	}
	growth := h.growth(bytes)
	if b.large+growth > b.largeTotal() {
		return false
	}
	// The share of a small budget may be less than the largest message, which is served
	// nevertheless if no other one of the group is.
	g := h.group
	return g.name != Anonymous || g.large+growth <= max(b.largeTotal()/anonymousDivisor, h.held+bytes)
}

// change changes the memory of a holder, which may become large or small.
func (b *Budget) change(h *holding, bytes int64) {
	b.count(h, -h.held)
	h.held += bytes
	b.count(h, h.held)
	h.group.used += bytes
}

// count adds to the part to which a holder belongs.
func (b *Budget) count(h *holding, bytes int64) {
	switch {
	case h.answers:
		b.answers += bytes
	case h.isLargeWith(h.held):
		b.large += bytes
		h.group.large += bytes
	default:
		b.small += bytes
	}
}

// join returns a group with one holder more.
func (b *Budget) join(name string) *group {
	g, ok := b.groups[name]
	if !ok {
		g = &group{name: name}
		b.groups[name] = g
	}
	g.holders++
	return g
}

// leave removes a holder from a group.
func (b *Budget) leave(g *group) {
	g.holders--
	if g.holders == 0 {
		delete(b.groups, g.name)
	}
}
