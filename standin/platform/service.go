package platform

import (
	"context"
	"path"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	platformv1 "amaranthdock.dev/api/amaranthdock/platform/v1"
	"amaranthdock.dev/timer"
)

const (
	// maxWatchWait is the maximum time that a watch waits for a change.
	maxWatchWait = time.Minute
	// maxLeaseDuration is the maximum duration of a lease.
	maxLeaseDuration = time.Hour
)

type service struct {
	timer        timer.Service
	faults       *faults
	store        *store
	vms          *vmList
	callCounters *counters
	storeChanges *broadcast
}

// CompareAndSwap writes a key if its revision is the expected one.
func (s *service) CompareAndSwap(_ context.Context, r *platformv1.CompareAndSwapRequest) (*platformv1.CompareAndSwapResponse, error) {
	if limit := s.faults.get().MaxValueSize; len(r.GetValue()) > limit {
		return nil, connect.NewError(connect.CodeResourceExhausted,
			eris.Errorf("the value has %d bytes, the limit is %d", len(r.GetValue()), limit))
	}
	current, result := s.store.compareAndSwap(swapRequest{
		key:      r.GetKey(),
		value:    r.GetValue(),
		expected: r.GetExpectedRevision(),
		lease:    r.GetLease(),
		remove:   r.GetDelete(),
	})
	switch result {
	case swapLeaseExpired:
		return nil, connect.NewError(connect.CodeFailedPrecondition, eris.Errorf("lease %d has expired", r.GetLease()))
	case swapSucceeded:
		s.storeChanges.notify()
		if s.faults.consumeLostAnswer() {
			return nil, connect.NewError(connect.CodeUnavailable, eris.New("the connection was lost"))
		}
	}
	return &platformv1.CompareAndSwapResponse{
		Swapped: result == swapSucceeded,
		Entry:   encode(r.GetKey(), current),
	}, nil
}

// Get returns the value and revision of a key.
func (s *service) Get(_ context.Context, r *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	current := s.store.read(r.GetKey(), s.faults.consumeStaleRead())
	if !current.present {
		return &platformv1.GetResponse{}, nil
	}
	return &platformv1.GetResponse{
		Found: true,
		Entry: encode(r.GetKey(), current),
	}, nil
}

// GrantLease creates a lease.
func (s *service) GrantLease(_ context.Context, r *platformv1.GrantLeaseRequest) (*platformv1.GrantLeaseResponse, error) {
	duration := r.GetDuration().AsDuration()
	if duration <= 0 || duration > maxLeaseDuration {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.Errorf("invalid lease duration %s: must be positive and at most %s", duration, maxLeaseDuration))
	}
	return &platformv1.GrantLeaseResponse{Lease: s.store.grantLease(duration)}, nil
}

// List returns the entries whose keys have a prefix.
func (s *service) List(_ context.Context, r *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	response := &platformv1.ListResponse{}
	keys, records := s.store.list(r.GetPrefix())
	for i, key := range keys {
		response.Entries = append(response.Entries, encode(key, records[i]))
	}
	return response, nil
}

// ListVms returns the VM list without the changes that are not visible yet.
func (s *service) ListVms(context.Context, *platformv1.ListVmsRequest) (*platformv1.ListVmsResponse, error) {
	vms, revision := s.vms.get()
	response := &platformv1.ListVmsResponse{Revision: revision}
	for _, vm := range vms {
		state := platformv1.VmState_VM_STATE_LIVE
		if vm.Leaving {
			state = platformv1.VmState_VM_STATE_LEAVING
		}
		response.Vms = append(response.Vms, &platformv1.Vm{
			Name:        vm.Name,
			DataCentre:  vm.DataCentre,
			PeerAddress: vm.PeerAddress.String(),
			State:       state,
		})
	}
	return response, nil
}

// RenewLease extends a lease by its full duration from now.
func (s *service) RenewLease(_ context.Context, r *platformv1.RenewLeaseRequest) (*platformv1.RenewLeaseResponse, error) {
	return &platformv1.RenewLeaseResponse{Alive: s.store.renewLease(r.GetLease())}, nil
}

// Watch waits until the revision of a key is greater than the given one, or until the
// requested wait has passed. A deleted key is returned as an entry without a value.
func (s *service) Watch(ctx context.Context, r *platformv1.WatchRequest) (*platformv1.WatchResponse, error) {
	timeout := s.timer.After(min(r.GetWait().AsDuration(), maxWatchWait))
	defer timeout.Stop()
	for {
		faultsChanged := s.faults.changes.next()
		storeChanged := s.storeChanges.next()
		if err := s.faults.awaitAvailability(ctx); err != nil {
			return nil, err
		}
		current := s.store.read(r.GetKey(), false)
		if current.revision > r.GetAfterRevision() {
			return &platformv1.WatchResponse{
				Changed: true,
				Entry:   encode(r.GetKey(), current),
			}, nil
		}
		select {
		case <-storeChanged:
		case <-faultsChanged:
		case <-timeout.C():
			return &platformv1.WatchResponse{Entry: encode(r.GetKey(), current)}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *service) expireLeases() {
	if s.store.expireLeases() {
		s.storeChanges.notify()
	}
}

// interceptor counts each call, removes expired leases before it, and applies the
// outage and the delay to it.
func (s *service) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			s.callCounters.increment(methodName(request.Spec().Procedure))
			if err := s.faults.awaitAvailability(ctx); err != nil {
				return nil, err
			}
			s.expireLeases()
			response, err := next(ctx, request)
			if delayErr := s.faults.delayResponse(ctx); delayErr != nil {
				return nil, delayErr
			}
			return response, err
		}
	}
}

func encode(key string, r record) *platformv1.Entry {
	return &platformv1.Entry{
		Key:      key,
		Value:    r.value,
		Revision: r.revision,
	}
}

// methodName returns the method name of a procedure in camel case.
func methodName(procedure string) string {
	method := path.Base(procedure)
	return strings.ToLower(method[:1]) + method[1:]
}
