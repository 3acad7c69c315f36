package scheduling

// costTolerance covers the rounding errors of a sum of costs.
const costTolerance = 1e-6

// SetLimits changes the number of items that run concurrently: reads if all of them are reads, and
// writes if all of them are writes. A mixture may use the same fraction of both limits. Items that
// already run are not affected. Limits below 1 count as 1.
func (q *Queue) SetLimits(reads, writes int) {
	reads, writes = max(reads, 1), max(writes, 1)
	q.config.Slots = max(reads, writes)
	q.readCost = float64(q.config.Slots) / float64(reads)
	q.writeCost = float64(q.config.Slots) / float64(writes)
	q.usedSlots = 0
	for id, r := range q.running {
		r.usedSlots = q.cost(r.item)
		q.running[id] = r
		q.usedSlots += r.usedSlots
	}
}

// cost returns the part of the slots that an item takes.
func (q *Queue) cost(item Item) float64 {
	if item.Write {
		return q.writeCost
	}
	return q.readCost
}

// fits reports whether an item fits into the slots beside those that run. It always does if none
// runs.
func (q *Queue) fits(next Item) bool {
	if len(q.running) == 0 {
		return true
	}
	return q.usedSlots+q.cost(next) <= float64(q.config.Slots)+costTolerance
}
