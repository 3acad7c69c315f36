package limits

import (
	"slices"

	"amaranthdock.dev/decision/routing"
)

// minGift is the smallest excess that a holder gives away, in millionths, so that
// rounding moves nothing.
const minGift = TotalMillionths / 100

// Fleet is what a VM knows of the others.
type Fleet struct {
	// Live VMs answer probes.
	Live []routing.VM
	// ListedActive VMs are named by the platform's list and are not leaving.
	ListedActive []string
	// ListedAll VMs are named by the platform's list, leaving ones too.
	ListedAll []string
	// Gone VMs were absent from the list for so long that they no longer run.
	Gone map[string]bool
}

// Change is Changed or Unchanged.
type Change interface {
	change()
}

// Changed is a record to write.
type Changed struct {
	Record ShareRecord
	// Reductions are the writer's own parts that become smaller. It must shrink its
	// shares before it writes.
	Reductions []Shrink
}

// Shrink is a smaller size of the writer's own part.
type Shrink struct {
	Subject    string
	Millionths int64
}

// Unchanged means that there is nothing to write.
type Unchanged struct{}

func (Changed) change()   {}
func (Unchanged) change() {}

// Reconcile assigns the parts that are free: those of new subjects, those that
// were released and those of VMs that are gone. It takes nothing from a VM that
// may still run. Any VM may write its result.
func Reconcile(record ShareRecord, subjects []Subject, fleet Fleet) Change {
	changed := record.clone()
	for _, s := range record.Subjects {
		for _, p := range s.Shares {
			if fleet.gone(p.VM) {
				changed.set(s.Name, p.VM, 0)
			}
		}
	}
	candidates := fleet.candidates("")
	for _, s := range subjects {
		assign(&changed, s, candidates)
	}
	return compare(record, changed, nil)
}

// Rebalance moves parts of the writer that are larger than its even share to other
// VMs.
func Rebalance(record ShareRecord, subjects []Subject, fleet Fleet, self string) Change {
	changed := record.clone()
	candidates := fleet.candidates("")
	var shrinks []Shrink
	for _, s := range subjects {
		part := record.Share(s.Name, self)
		kept := keep(record, s, candidates, part)
		if kept == part.Millionths {
			continue
		}
		changed.set(s.Name, self, kept)
		others := slices.DeleteFunc(slices.Clone(candidates), func(v routing.VM) bool { return v.Name == self })
		assignTo(&changed, s, others, min(s.Limit.HolderCount(), len(candidates)))
		shrinks = append(shrinks, Shrink{
			Subject:    s.Name,
			Millionths: kept,
		})
	}
	return compare(record, changed, shrinks)
}

// Release moves all parts of the writer, which is leaving, to other VMs. Parts
// that no VM can take become free.
func Release(record ShareRecord, subjects []Subject, fleet Fleet, self string) Change {
	changed := record.clone()
	var shrinks []Shrink
	for _, s := range record.Subjects {
		if record.Share(s.Name, self).Millionths == 0 {
			continue
		}
		changed.set(s.Name, self, 0)
		shrinks = append(shrinks, Shrink{Subject: s.Name})
	}
	candidates := fleet.candidates(self)
	for _, s := range subjects {
		assign(&changed, s, candidates)
	}
	return compare(record, changed, shrinks)
}

func (f Fleet) candidates(except string) []routing.VM {
	var vms []routing.VM
	for _, v := range f.Live {
		// The list lags: a VM that it does not name yet could later be taken
		// for gone while it runs.
		if v.Name != except && slices.Contains(f.ListedActive, v.Name) {
			vms = append(vms, v)
		}
	}
	return vms
}

func (f Fleet) gone(vm string) bool {
	live := slices.ContainsFunc(f.Live, func(v routing.VM) bool { return v.Name == vm })
	return f.Gone[vm] && !live && !slices.Contains(f.ListedAll, vm)
}

// assign gives the free millionths of a subject to the VMs that hold less than
// their even share, holders first.
func assign(record *ShareRecord, subject Subject, candidates []routing.VM) {
	assignTo(record, subject, candidates, min(subject.Limit.HolderCount(), len(candidates)))
}

func assignTo(record *ShareRecord, subject Subject, candidates []routing.VM, holders int) {
	free := int64(TotalMillionths)
	for _, p := range record.Shares(subject.Name) {
		free -= p.Millionths
	}
	if free == 0 || len(candidates) == 0 {
		return
	}
	target := int64(TotalMillionths / holders)
	chosen := choose(*record, subject.Name, candidates, holders)
	for _, v := range chosen {
		held := record.Share(subject.Name, v.Name).Millionths
		grant := min(max(target-held, 0), free)
		record.set(subject.Name, v.Name, held+grant)
		free -= grant
	}
	// The remainder of the division goes to the first holder.
	first := chosen[0].Name
	record.set(subject.Name, first, record.Share(subject.Name, first).Millionths+free)
}

// choose ranks the candidates and returns the holders among them, then others up
// to the wanted number.
func choose(record ShareRecord, subject string, candidates []routing.VM, holders int) []routing.VM {
	ranked := routing.Rank(subject, candidates)
	slices.SortStableFunc(ranked, func(a, b routing.VM) int {
		return rankOf(record, subject, a) - rankOf(record, subject, b)
	})
	return ranked[:min(holders, len(ranked))]
}

func compare(before, after ShareRecord, shrinks []Shrink) Change {
	same := before.Epoch == after.Epoch && slices.EqualFunc(before.Subjects, after.Subjects,
		func(a, b SubjectParts) bool { return a.Name == b.Name && slices.Equal(a.Shares, b.Shares) })
	if same {
		return Unchanged{}
	}
	return Changed{
		Record:     after,
		Reductions: shrinks,
	}
}

// keep returns what a holder keeps of its part: nothing if there are more holders
// than wanted and it ranks behind them, its even share if another VM lacks one.
func keep(record ShareRecord, subject Subject, candidates []routing.VM, part Share) int64 {
	if part.Millionths == 0 || len(candidates) == 0 {
		return part.Millionths
	}
	holders := min(subject.Limit.HolderCount(), len(candidates))
	chosen := choose(record, subject.Name, candidates, holders)
	if !slices.ContainsFunc(chosen, func(v routing.VM) bool { return v.Name == part.VM }) {
		if slices.ContainsFunc(candidates, func(v routing.VM) bool { return v.Name == part.VM }) {
			return 0
		}
		return part.Millionths
	}
	target := int64(TotalMillionths / holders)
	if part.Millionths-target < minGift {
		return part.Millionths
	}
	for _, v := range chosen {
		if target-record.Share(subject.Name, v.Name).Millionths >= minGift {
			return target
		}
	}
	return part.Millionths
}

func rankOf(record ShareRecord, subject string, vm routing.VM) int {
	if record.Share(subject, vm.Name).Millionths > 0 {
		return 0
	}
	return 1
}
