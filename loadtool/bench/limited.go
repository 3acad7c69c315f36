package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/routing"
)

const (
	limitBurst   = 80
	limitRate    = 100
	limitSubject = "w"
	// maxTokenWait is how long a request waits for a token, as in the proxy.
	maxTokenWait = limits.LoanTimeout + 50*time.Millisecond
	// reassignDelay is the time from the failure of a VM until its share is reassigned.
	reassignDelay = 15 * time.Second
	// vmLatency is the one-way latency between two VMs.
	vmLatency = time.Millisecond
	vmCount   = 7
)

// limitCase is one scenario of the rate limits.
type limitCase struct {
	name string
	// load is the rate of all requests as a multiple of the limit's rate.
	load float64
	// firstVMShare is the fraction of the requests that go to the first VM; the others
	// are spread evenly over all VMs.
	firstVMShare float64
	// vmLost makes one VM fail after a third of the run. Its share is reassigned unless
	// storeUnreachable is set.
	vmLost, storeUnreachable bool
}

// limitRun simulates the VMs that share one rate limit.
type limitRun struct {
	*eventLoop
	random   *rand.Rand
	limit    limits.Limit
	lending  bool
	record   limits.ShareRecord
	revision uint64
	vms      []*limitVM
	// idealBucket is a single bucket that sees all requests. allowance is how many more
	// requests the limit admits now; excess is the largest number admitted beyond it.
	idealBucket       limits.Bucket
	allowance, excess float64
	lastAdmittedAt    time.Time
	sent, refused     int
	wronglyRefused    int
}

type limitVM struct {
	name            string
	failed          bool
	share           *limits.LocalShare
	lenderStates    map[string]limits.LenderState
	requestedTokens map[string]int64
	waiters         []*limitRequest
	processing      bool
}

// limitRequest is a request; admittedByIdeal is set if idealBucket admitted it.
type limitRequest struct {
	admittedByIdeal bool
}

func measureSharedLimits(config Config) []Result {
	cases := []limitCase{
		{name: "85% even", load: 0.85},
		{name: "89% even", load: 0.89},
		{name: "85% skewed 70%", load: 0.85, firstVMShare: 0.7},
		{name: "89% to one VM", load: 0.89, firstVMShare: 1},
		{name: "85% VM lost", load: 0.85, vmLost: true},
		{name: "85% VM lost, store out", load: 0.85, vmLost: true, storeUnreachable: true},
		{name: "300% skewed 70%", load: 3, firstVMShare: 0.7},
	}
	var results []Result
	for _, c := range cases {
		for _, lending := range []bool{false, true} {
			r := newLimitRun(config.Seed, lending)
			r.simulate(config, c)
			choice := "static division"
			if lending {
				choice = "lent shares"
			}
			measures := []Measure{
				newMeasure("refused", float64(r.refused)/float64(r.sent)),
				newMeasure("excessOverBound", math.Max(r.excess, 0)),
			}
			if c.load < 1 {
				measures = append(measures, newMeasure("wrongfullyRefused", float64(r.wronglyRefused)/float64(r.sent)))
			}
			results = append(results, Result{
				Section:     "limits",
				Scenario:    c.name,
				Choice:      choice,
				UsedByProxy: lending,
				Measures:    measures,
			})
		}
	}
	return results
}

func newLimitRun(seed uint64, lending bool) *limitRun {
	r := &limitRun{
		eventLoop: newEventLoop(),
		random:    newRandom(seed, 1),
		limit:     limits.Limit{Rate: limitRate, Burst: limitBurst},
		lending:   lending,
	}
	// Buckets start empty. These start a minute before the run, so that they are full by then.
	start := r.now.Add(-time.Minute)
	for i := range vmCount {
		r.vms = append(r.vms, &limitVM{
			name:            fmt.Sprintf("vm%d", i+1),
			share:           limits.NewLocalShare(start, r.limit, 0),
			lenderStates:    map[string]limits.LenderState{},
			requestedTokens: map[string]int64{},
		})
	}
	r.reconcile(start, nil)
	r.idealBucket = limits.NewBucket(start, limitBurst, limitRate)
	r.allowance = limitBurst
	r.lastAdmittedAt = r.now
	return r
}

// reconcile assigns the unassigned shares. VMs in gone are no longer in the platform's list.
func (r *limitRun) reconcile(now time.Time, gone map[string]bool) {
	fleet := limits.Fleet{LongAbsentVMs: gone}
	for _, v := range r.vms {
		if !v.failed {
			fleet.LiveVMs = append(fleet.LiveVMs, routing.VM{Name: v.name})
			fleet.ListedActiveVMs = append(fleet.ListedActiveVMs, v.name)
		}
	}
	fleet.ListedVMs = fleet.ListedActiveVMs
	subjects := []limits.Subject{{Name: limitSubject, Limit: r.limit}}
	changed, ok := limits.Reconcile(r.record, subjects, fleet).(limits.Changed)
	if !ok {
		return
	}
	r.record = changed.Record
	r.revision++
	for _, v := range r.vms {
		v.share.Apply(now, r.revision, r.record.Share(limitSubject, v.name))
	}
}

func (r *limitRun) simulate(config Config, c limitCase) {
	if c.vmLost {
		failedVM := r.vms[vmCount-1]
		r.after(config.Duration/3, func() { failedVM.failed = true })
		if !c.storeUnreachable {
			r.after(config.Duration/3+reassignDelay, func() {
				r.reconcile(r.now, map[string]bool{failedVM.name: true})
			})
		}
	}
	r.poisson(newRandom(config.Seed, 0), c.load*limitRate, r.now.Add(config.Duration), func() {
		v := r.vms[0]
		if r.random.Float64() >= c.firstVMShare {
			v = r.vms[r.random.IntN(vmCount)]
		}
		if v.failed {
			// The load balancer sends only to VMs that respond.
			v = r.vms[r.random.IntN(vmCount-1)]
		}
		r.receive(v)
	})
	r.runAll()
}

func (r *limitRun) receive(v *limitVM) {
	r.sent++
	request := &limitRequest{admittedByIdeal: r.idealBucket.Take(r.now, 1) == 1}
	if len(v.waiters) == 0 && v.share.Take(r.now, 1) == 1 {
		r.admit()
		return
	}
	if !limits.CanAdmitWithin(r.now, maxTokenWait, int64(len(v.waiters)), v.share, r.lenders(v)) {
		r.refuse(request)
		return
	}
	v.waiters = append(v.waiters, request)
	r.after(maxTokenWait, func() {
		if i := slices.Index(v.waiters, request); i >= 0 {
			v.waiters = slices.Delete(v.waiters, i, i+1)
			r.refuse(request)
		}
	})
	if !v.processing {
		v.processing = true
		r.processWaiters(v)
	}
}

func (r *limitRun) admit() {
	r.allowance = min(r.allowance+r.limit.Rate*r.now.Sub(r.lastAdmittedAt).Seconds(), limitBurst) - 1
	r.lastAdmittedAt = r.now
	r.excess = max(r.excess, -r.allowance)
}

func (r *limitRun) refuse(request *limitRequest) {
	r.refused++
	if request.admittedByIdeal {
		r.wronglyRefused++
	}
}

func (r *limitRun) lenders(v *limitVM) []limits.Lender {
	if !r.lending {
		return nil
	}
	var lenders []limits.Lender
	for _, other := range r.vms {
		share := r.record.Share(limitSubject, other.name)
		if other == v || other.failed || share.Millionths == 0 {
			continue
		}
		capacity, rate := r.limit.BucketParameters(share.Millionths)
		lenders = append(lenders, limits.Lender{
			VM:       other.name,
			State:    v.lenderStates[other.name],
			Capacity: capacity,
			Rate:     rate,
		})
	}
	return lenders
}

// processWaiters admits waiting requests and asks lenders for tokens until no request
// waits, as the proxy does.
func (r *limitRun) processWaiters(v *limitVM) {
	r.admitWaiters(v, v.share.Take(r.now, int64(len(v.waiters))))
	if len(v.waiters) == 0 {
		v.processing = false
		return
	}
	demand := int64(len(v.waiters))
	var idle []limits.Lender
	for _, l := range r.lenders(v) {
		requested, busy := v.requestedTokens[l.VM]
		demand -= requested
		if !busy {
			idle = append(idle, l)
		}
	}
	for _, request := range limits.PlanLoans(r.now, demand, idle) {
		v.requestedTokens[request.Lender] = request.Tokens
		r.requestLoan(v, request)
	}
	r.after(max(min(v.share.TimeUntil(r.now, 1), 2*vmLatency), time.Millisecond), func() { r.processWaiters(v) })
}

func (r *limitRun) requestLoan(v *limitVM, request limits.LoanRequest) {
	loan := limits.Loan{RequestedAt: r.now}
	lender := r.vms[slices.IndexFunc(r.vms, func(o *limitVM) bool { return o.name == request.Lender })]
	r.after(vmLatency, func() {
		granted := limits.GrantLoan(r.now, lender.share, request.Tokens, int64(len(lender.waiters)))
		remaining := lender.share.Available(r.now)
		untilNext := lender.share.TimeUntil(r.now, remaining+1)
		r.after(vmLatency, func() {
			delete(v.requestedTokens, request.Lender)
			v.lenderStates[request.Lender] = limits.LenderState{
				RespondedAt:     r.now,
				RemainingTokens: remaining,
				UntilNextToken:  untilNext,
			}
			if loan.UsableAt(r.now) {
				r.admitWaiters(v, granted)
			}
		})
	})
}

func (r *limitRun) admitWaiters(v *limitVM, tokens int64) {
	count := min(int(tokens), len(v.waiters))
	for range count {
		r.admit()
	}
	v.waiters = slices.Delete(v.waiters, 0, count)
}
