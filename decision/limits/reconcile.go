package limits

import (
	"slices"

	"amaranthdock.dev/decision/routing"
)

// minTransfer is the smallest difference from the even share that is moved to
// another VM, in millionths. It keeps rounding errors from moving shares.
const minTransfer = TotalMillionths / 100

// Fleet is what a VM knows about all VMs.
type Fleet struct {
	// LiveVMs lists the VMs that respond to health probes.
	LiveVMs []routing.VM
	// ListedActiveVMs names the VMs that are on the platform's list and not leaving.
	ListedActiveVMs []string
	// ListedVMs names all VMs on the platform's list, including those leaving.
	ListedVMs []string
	// LongAbsentVMs has the value true for the VMs that were absent from the list for
	// so long that they no longer run.
	LongAbsentVMs map[string]bool
}

// Change is the result of a decision about the record: Changed or Unchanged.
type Change interface {
	change()
}

// Changed holds a new record to write.
type Changed struct {
	Record ShareRecord
	// Reductions lists the writer's own shares that become smaller. The writer must
	// apply them with LocalShare.Reduce before it writes the record.
	Reductions []ShareReduction
}

// ShareReduction is a new, smaller size of one of the writer's own shares.
type ShareReduction struct {
	Subject    string
	Millionths int64
}

// Unchanged means that there is nothing to write.
type Unchanged struct{}

func (Changed) change()   {}
func (Unchanged) change() {}

// Reconcile assigns the free shares: those of new subjects, those that were
// released and those of VMs that are gone. It takes nothing from a VM that may
// still run. Any VM may write the result.
func Reconcile(record ShareRecord, subjects []Subject, fleet Fleet) Change {
	changed := record.clone()
	for _, s := range record.Subjects {
		for _, share := range s.Shares {
			if fleet.isGone(share.VM) {
				changed.setShare(s.Name, share.VM, 0)
			}
		}
	}
	candidates := fleet.assignable("")
	for _, s := range subjects {
		assignFree(&changed, s, candidates)
	}
	return changeBetween(record, changed, nil)
}

// Rebalance moves the writer's excess over its even share to other VMs, or its whole
// share if there are more holders than needed.
func Rebalance(record ShareRecord, subjects []Subject, fleet Fleet, self string) Change {
	changed := record.clone()
	candidates := fleet.assignable("")
	var reductions []ShareReduction
	for _, s := range subjects {
		share := record.Share(s.Name, self)
		kept := retainedMillionths(record, s, candidates, share)
		if kept == share.Millionths {
			continue
		}
		changed.setShare(s.Name, self, kept)
		others := slices.DeleteFunc(slices.Clone(candidates), func(v routing.VM) bool { return v.Name == self })
		assignFreeTo(&changed, s, others, min(s.Limit.HolderCount(), len(candidates)))
		reductions = append(reductions, ShareReduction{
			Subject:    s.Name,
			Millionths: kept,
		})
	}
	return changeBetween(record, changed, reductions)
}

// Release moves all shares of the writer, which is leaving, to other VMs. Shares
// that no VM can take become free.
func Release(record ShareRecord, subjects []Subject, fleet Fleet, self string) Change {
	changed := record.clone()
	var reductions []ShareReduction
	for _, s := range record.Subjects {
		if record.Share(s.Name, self).Millionths == 0 {
			continue
		}
		changed.setShare(s.Name, self, 0)
		reductions = append(reductions, ShareReduction{Subject: s.Name})
	}
	candidates := fleet.assignable(self)
	for _, s := range subjects {
		assignFree(&changed, s, candidates)
	}
	return changeBetween(record, changed, reductions)
}

// assignable returns the VMs that may be given shares.
func (f Fleet) assignable(except string) []routing.VM {
	var vms []routing.VM
	for _, v := range f.LiveVMs {
		// The platform's list lags behind: a VM that is not on it yet could later
		// be considered gone while it still runs.
		if v.Name != except && slices.Contains(f.ListedActiveVMs, v.Name) {
			vms = append(vms, v)
		}
	}
	return vms
}

func (f Fleet) isGone(vm string) bool {
	live := slices.ContainsFunc(f.LiveVMs, func(v routing.VM) bool { return v.Name == vm })
	return f.LongAbsentVMs[vm] && !live && !slices.Contains(f.ListedVMs, vm)
}

// assignFree assigns the free millionths of a subject to VMs that hold less than
// their even share. VMs that already hold a share come first.
func assignFree(record *ShareRecord, subject Subject, candidates []routing.VM) {
	assignFreeTo(record, subject, candidates, min(subject.Limit.HolderCount(), len(candidates)))
}

// assignFreeTo is assignFree with a given number of holders.
func assignFreeTo(record *ShareRecord, subject Subject, candidates []routing.VM, holderCount int) {
	free := int64(TotalMillionths)
	for _, share := range record.Shares(subject.Name) {
		free -= share.Millionths
	}
	if free == 0 || len(candidates) == 0 {
		return
	}
	target := int64(TotalMillionths / holderCount)
	chosen := chooseHolders(*record, subject.Name, candidates, holderCount)
	for _, v := range chosen {
		held := record.Share(subject.Name, v.Name).Millionths
		grant := min(max(target-held, 0), free)
		record.setShare(subject.Name, v.Name, held+grant)
		free -= grant
	}
	// The remainder of the division goes to the first holder.
	first := chosen[0].Name
	record.setShare(subject.Name, first, record.Share(subject.Name, first).Millionths+free)
}

// chooseHolders returns up to holderCount of the candidates in ranked order. VMs
// that already hold a share come first.
func chooseHolders(record ShareRecord, subject string, candidates []routing.VM, holderCount int) []routing.VM {
	ranked := routing.Rank(subject, candidates)
	slices.SortStableFunc(ranked, func(a, b routing.VM) int {
		return holderOrder(record, subject, a) - holderOrder(record, subject, b)
	})
	return ranked[:min(holderCount, len(ranked))]
}

// changeBetween returns Unchanged if both records are equal.
func changeBetween(before, after ShareRecord, reductions []ShareReduction) Change {
	same := before.Epoch == after.Epoch && slices.EqualFunc(before.Subjects, after.Subjects,
		func(a, b SubjectShares) bool { return a.Name == b.Name && slices.Equal(a.Shares, b.Shares) })
	if same {
		return Unchanged{}
	}
	return Changed{
		Record:     after,
		Reductions: reductions,
	}
}

// retainedMillionths returns how much of its share a holder keeps: nothing if it is
// a candidate but not among the chosen holders, the even share if it has more and
// another chosen holder has less than that, otherwise all of it.
func retainedMillionths(record ShareRecord, subject Subject, candidates []routing.VM, share Share) int64 {
	if share.Millionths == 0 || len(candidates) == 0 {
		return share.Millionths
	}
	holderCount := min(subject.Limit.HolderCount(), len(candidates))
	chosen := chooseHolders(record, subject.Name, candidates, holderCount)
	if !slices.ContainsFunc(chosen, func(v routing.VM) bool { return v.Name == share.VM }) {
		if slices.ContainsFunc(candidates, func(v routing.VM) bool { return v.Name == share.VM }) {
			return 0
		}
		return share.Millionths
	}
	target := int64(TotalMillionths / holderCount)
	if share.Millionths-target < minTransfer {
		return share.Millionths
	}
	for _, v := range chosen {
		if target-record.Share(subject.Name, v.Name).Millionths >= minTransfer {
			return target
		}
	}
	return share.Millionths
}

// holderOrder is 0 for a VM that already holds a share and 1 for others.
func holderOrder(record ShareRecord, subject string, vm routing.VM) int {
	if record.Share(subject, vm.Name).Millionths > 0 {
		return 0
	}
	return 1
}
