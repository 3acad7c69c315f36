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
	limitBurst = 80
	limitRate  = 100
	limitName  = "w"
	// limitWait is how long a request waits for a token, as in the proxy.
	limitWait = limits.LoanTimeout + 50*time.Millisecond
	// listLag is the time from the loss of a VM until its part moves.
	listLag = 15 * time.Second
	// oneWay is the latency between two VMs.
	oneWay = time.Millisecond
	vms    = 7
)

// limitCase is one scenario of the limits.
type limitCase struct {
	name string
	// load as a factor of the rate.
	load float64
	// skew is the share of the requests that go to the first VM; the others go to
	// all VMs evenly.
	skew float64
	// lost VMs fail at a third of the run; their parts move unless storeOut.
	lost, storeOut bool
}

// limitRun simulates the VMs that share one limit.
type limitRun struct {
	*events
	random   *rand.Rand
	limit    limits.Limit
	lend     bool
	record   limits.ShareRecord
	revision uint64
	vms      []*limitVM
	// ideal is one bucket for all; allowed is what any window may still admit.
	ideal           limits.Bucket
	allowed, excess float64
	admittedAt      time.Time
	sent, refused   int
	wrong           int
}

type limitVM struct {
	name    string
	dead    bool
	share   *limits.LocalShare
	hints   map[string]limits.LenderState
	asked   map[string]int64
	waiters []*limitWaiter
	pumping bool
}

// limitWaiter is a request; ideal tells whether the one bucket admitted it.
type limitWaiter struct {
	ideal bool
}

func limited(config Config) []Result {
	cases := []limitCase{
		{name: "85% even", load: 0.85},
		{name: "89% even", load: 0.89},
		{name: "85% skewed 70%", load: 0.85, skew: 0.7},
		{name: "89% to one VM", load: 0.89, skew: 1},
		{name: "85% VM lost", load: 0.85, lost: true},
		{name: "85% VM lost, store out", load: 0.85, lost: true, storeOut: true},
		{name: "300% skewed 70%", load: 3, skew: 0.7},
	}
	var results []Result
	for _, c := range cases {
		for _, lend := range []bool{false, true} {
			r := newLimitRun(config.Seed, lend)
			r.simulate(config, c)
			choice := "static division"
			if lend {
				choice = "lent shares"
			}
			measures := []Measure{
				measure("refused", float64(r.refused)/float64(r.sent)),
				measure("excessOverBound", math.Max(r.excess, 0)),
			}
			if c.load < 1 {
				measures = append(measures, measure("wrongfullyRefused", float64(r.wrong)/float64(r.sent)))
			}
			results = append(results, Result{
				Section:  "limits",
				Scenario: c.name,
				Choice:   choice,
				Pick:     lend,
				Measures: measures,
			})
		}
	}
	return results
}

func newLimitRun(seed uint64, lend bool) *limitRun {
	r := &limitRun{
		events: newEvents(),
		random: newRandom(seed, 1),
		limit:  limits.Limit{Rate: limitRate, Burst: limitBurst},
		lend:   lend,
	}
	begin := r.now.Add(-time.Minute)
	for i := range vms {
		r.vms = append(r.vms, &limitVM{
			name:  fmt.Sprintf("vm%d", i+1),
			share: limits.NewLocalShare(begin, r.limit, 0),
			hints: map[string]limits.LenderState{},
			asked: map[string]int64{},
		})
	}
	r.reconcile(begin, nil)
	r.ideal = limits.NewBucket(begin, limitBurst, limitRate)
	r.allowed = limitBurst
	r.admittedAt = r.now
	return r
}

// reconcile assigns the free parts; gone VMs are no longer listed.
func (r *limitRun) reconcile(now time.Time, gone map[string]bool) {
	fleet := limits.Fleet{Gone: gone}
	for _, v := range r.vms {
		if !v.dead {
			fleet.Live = append(fleet.Live, routing.VM{Name: v.name})
			fleet.ListedActive = append(fleet.ListedActive, v.name)
		}
	}
	fleet.ListedAll = fleet.ListedActive
	subjects := []limits.Subject{{Name: limitName, Limit: r.limit}}
	changed, ok := limits.Reconcile(r.record, subjects, fleet).(limits.Changed)
	if !ok {
		return
	}
	r.record = changed.Record
	r.revision++
	for _, v := range r.vms {
		v.share.Apply(now, r.revision, r.record.Share(limitName, v.name))
	}
}

func (r *limitRun) simulate(config Config, c limitCase) {
	if c.lost {
		lost := r.vms[vms-1]
		r.after(config.Duration/3, func() { lost.dead = true })
		if !c.storeOut {
			r.after(config.Duration/3+listLag, func() {
				r.reconcile(r.now, map[string]bool{lost.name: true})
			})
		}
	}
	r.poisson(newRandom(config.Seed, 0), c.load*limitRate, r.now.Add(config.Duration), func() {
		v := r.vms[0]
		if r.random.Float64() >= c.skew {
			v = r.vms[r.random.IntN(vms)]
		}
		if v.dead {
			// The load balancer sends to the VMs that answer.
			v = r.vms[r.random.IntN(vms-1)]
		}
		r.arrive(v)
	})
	r.runAll()
}

func (r *limitRun) arrive(v *limitVM) {
	r.sent++
	w := &limitWaiter{ideal: r.ideal.Take(r.now, 1) == 1}
	if len(v.waiters) == 0 && v.share.Take(r.now, 1) == 1 {
		r.admit()
		return
	}
	if !limits.CanAdmitWithin(r.now, limitWait, int64(len(v.waiters)), v.share, r.lenders(v)) {
		r.refuse(w)
		return
	}
	v.waiters = append(v.waiters, w)
	r.after(limitWait, func() {
		if at := slices.Index(v.waiters, w); at >= 0 {
			v.waiters = slices.Delete(v.waiters, at, at+1)
			r.refuse(w)
		}
	})
	if !v.pumping {
		v.pumping = true
		r.pump(v)
	}
}

func (r *limitRun) admit() {
	r.allowed = min(r.allowed+r.limit.Rate*r.now.Sub(r.admittedAt).Seconds(), limitBurst) - 1
	r.admittedAt = r.now
	r.excess = max(r.excess, -r.allowed)
}

func (r *limitRun) refuse(w *limitWaiter) {
	r.refused++
	if w.ideal {
		r.wrong++
	}
}

func (r *limitRun) lenders(v *limitVM) []limits.Lender {
	if !r.lend {
		return nil
	}
	var lenders []limits.Lender
	for _, other := range r.vms {
		part := r.record.Share(limitName, other.name)
		if other == v || other.dead || part.Millionths == 0 {
			continue
		}
		capacity, rate := r.limit.BucketParameters(part.Millionths)
		lenders = append(lenders, limits.Lender{
			VM:       other.name,
			State:    v.hints[other.name],
			Capacity: capacity,
			Rate:     rate,
		})
	}
	return lenders
}

// pump serves waiters and asks lenders until nobody waits, as the proxy does.
func (r *limitRun) pump(v *limitVM) {
	r.serve(v, v.share.Take(r.now, int64(len(v.waiters))))
	if len(v.waiters) == 0 {
		v.pumping = false
		return
	}
	demand := int64(len(v.waiters))
	var free []limits.Lender
	for _, l := range r.lenders(v) {
		asked, busy := v.asked[l.VM]
		demand -= asked
		if !busy {
			free = append(free, l)
		}
	}
	for _, a := range limits.PlanLoans(r.now, demand, free) {
		v.asked[a.Lender] = a.Tokens
		r.borrow(v, a)
	}
	r.after(max(min(v.share.TimeUntil(r.now, 1), 2*oneWay), time.Millisecond), func() { r.pump(v) })
}

func (r *limitRun) borrow(v *limitVM, ask limits.LoanRequest) {
	loan := limits.Loan{RequestedAt: r.now}
	lender := r.vms[slices.IndexFunc(r.vms, func(o *limitVM) bool { return o.name == ask.Lender })]
	r.after(oneWay, func() {
		granted := limits.GrantLoan(r.now, lender.share, ask.Tokens, int64(len(lender.waiters)))
		remaining := lender.share.Available(r.now)
		next := lender.share.TimeUntil(r.now, remaining+1)
		r.after(oneWay, func() {
			delete(v.asked, ask.Lender)
			v.hints[ask.Lender] = limits.LenderState{
				RespondedAt:    r.now,
				Remaining:      remaining,
				UntilNextToken: next,
			}
			if loan.UsableAt(r.now) {
				r.serve(v, granted)
			}
		})
	})
}

func (r *limitRun) serve(v *limitVM, tokens int64) {
	count := min(int(tokens), len(v.waiters))
	for range count {
		r.admit()
	}
	v.waiters = slices.Delete(v.waiters, 0, count)
}
