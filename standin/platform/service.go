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
	// maxWatch bounds the wait of a watch.
	maxWatch = time.Minute
	// maxLease bounds the duration of a lease.
	maxLease = time.Hour
)

type service struct {
	timer   timer.Service
	faults  *faults
	store   *store
	vms     *vmList
	calls   *counters
	changed *broadcast
}

// CompareAndSwap writes if the key's revision is the expected one.
func (s *service) CompareAndSwap(_ context.Context, r *platformv1.CompareAndSwapRequest) (*platformv1.CompareAndSwapResponse, error) {
	if limit := s.faults.get().MaxValueSize; len(r.GetValue()) > limit {
		return nil, connect.NewError(connect.CodeResourceExhausted,
			eris.Errorf("the value has %d bytes, the limit is %d", len(r.GetValue()), limit))
	}
	after, result := s.store.compareAndSwap(swap{
		key:      r.GetKey(),
		value:    r.GetValue(),
		expected: r.GetExpectedRevision(),
		lease:    r.GetLease(),
		remove:   r.GetDelete(),
	})
	switch result {
	case swapNoLease:
		return nil, connect.NewError(connect.CodeFailedPrecondition, eris.Errorf("lease %d has lapsed", r.GetLease()))
	case swapDone:
		s.changed.notify()
		if s.faults.takeLostAnswer() {
			return nil, connect.NewError(connect.CodeUnavailable, eris.New("the connection was lost"))
		}
	}
	return &platformv1.CompareAndSwapResponse{
		Swapped: result == swapDone,
		Entry:   encode(r.GetKey(), after),
	}, nil
}

// Get returns a key.
func (s *service) Get(_ context.Context, r *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	current := s.store.read(r.GetKey(), s.faults.takeStaleRead())
	if !current.present {
		return &platformv1.GetResponse{}, nil
	}
	return &platformv1.GetResponse{
		Found: true,
		Entry: encode(r.GetKey(), current),
	}, nil
}

// GrantLease makes a lease.
func (s *service) GrantLease(_ context.Context, r *platformv1.GrantLeaseRequest) (*platformv1.GrantLeaseResponse, error) {
	duration := r.GetDuration().AsDuration()
	if duration <= 0 || duration > maxLease {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.Errorf("the duration %s is not within %s", duration, maxLease))
	}
	return &platformv1.GrantLeaseResponse{Lease: s.store.grant(duration)}, nil
}

// List returns the keys with a prefix.
func (s *service) List(_ context.Context, r *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	response := &platformv1.ListResponse{}
	keys, records := s.store.list(r.GetPrefix())
	for i, key := range keys {
		response.Entries = append(response.Entries, encode(key, records[i]))
	}
	return response, nil
}

// ListVms returns the lagging VM list.
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

// RenewLease starts the lease's duration again.
func (s *service) RenewLease(_ context.Context, r *platformv1.RenewLeaseRequest) (*platformv1.RenewLeaseResponse, error) {
	return &platformv1.RenewLeaseResponse{Alive: s.store.renew(r.GetLease())}, nil
}

// Watch waits until the key's revision passes the given one. A deleted key
// appears as an entry without a value.
func (s *service) Watch(ctx context.Context, r *platformv1.WatchRequest) (*platformv1.WatchResponse, error) {
	end := s.timer.After(min(r.GetWait().AsDuration(), maxWatch))
	defer end.Stop()
	for {
		faultChanges := s.faults.changed.next()
		changes := s.changed.next()
		if err := s.faults.pass(ctx); err != nil {
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
		case <-changes:
		case <-faultChanges:
		case <-end.C():
			return &platformv1.WatchResponse{Entry: encode(r.GetKey(), current)}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *service) expire() {
	if s.store.expire() {
		s.changed.notify()
	}
}

// interceptor counts each call and applies the outage and the delay to it.
func (s *service) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			s.calls.add(kindOf(request.Spec().Procedure))
			if err := s.faults.pass(ctx); err != nil {
				return nil, err
			}
			s.expire()
			response, err := next(ctx, request)
			if waitErr := s.faults.delay(ctx); waitErr != nil {
				return nil, waitErr
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

// kindOf returns the method of a procedure in camelCase.
func kindOf(procedure string) string {
	method := path.Base(procedure)
	return strings.ToLower(method[:1]) + method[1:]
}
