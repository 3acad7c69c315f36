package platform

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	platformv1 "amaranthdock.dev/api/amaranthdock/platform/v1"
	"amaranthdock.dev/api/amaranthdock/platform/v1/platformv1connect"
	"amaranthdock.dev/timer"
)

// DefaultCallTimeout of a call. The service answers within milliseconds.
const DefaultCallTimeout = 500 * time.Millisecond

// Client is a Store over connect-go. It is safe for concurrent use.
type Client struct {
	config       Config
	backoff      *backoff
	listRevision atomic.Uint64
}

// Config configures a Client.
type Config struct {
	// Service is the generated client of the platform's service.
	Service platformv1connect.PlatformServiceClient
	Timer   timer.Service
	Logger  logr.Logger
	Metrics metrics.Registry
	// Random is the source of the jitter; used by this client only.
	Random *rand.Rand
	// CallTimeout is DefaultCallTimeout if it is 0.
	CallTimeout time.Duration
}

var _ Store = (*Client)(nil)

// New returns a Client.
func New(config Config) (*Client, error) {
	if config.Service == nil || config.Timer == nil || config.Metrics == nil || config.Random == nil {
		return nil, eris.New("platform: the service, timer, metrics or random source is missing")
	}
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	return &Client{
		config: config,
		backoff: &backoff{
			random: config.Random,
		},
	}, nil
}

// CompareAndSwap writes a key if its revision is the expected one.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (Entry, bool, error) {
	if err := c.awaitBackoff(ctx); err != nil {
		return Entry{}, false, err
	}
	request := &platformv1.CompareAndSwapRequest{
		Key:              key,
		Value:            value,
		ExpectedRevision: expected,
	}
	response, err := call(ctx, c, "compareAndSwap", c.config.CallTimeout, request, c.config.Service.CompareAndSwap)
	if err != nil && rejected(err) {
		return Entry{}, false, err
	}
	if err != nil {
		return Entry{}, false, &OutcomeUnknownError{
			Key:   key,
			Cause: err,
		}
	}
	return entryOf(key, response.GetEntry()), response.GetSwapped(), nil
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	if err := c.awaitBackoff(ctx); err != nil {
		return Entry{}, err
	}
	request := &platformv1.GetRequest{
		Key: key,
	}
	response, err := call(ctx, c, "get", c.config.CallTimeout, request, c.config.Service.Get)
	if err != nil {
		return Entry{}, err
	}
	if !response.GetFound() {
		return Entry{
			Key: key,
		}, nil
	}
	return entryOf(key, response.GetEntry()), nil
}

// ListVMs returns the platform's list. A list with an address that cannot be
// read is an error as a whole, because a VM that a list does not name is gone.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	if err := c.awaitBackoff(ctx); err != nil {
		return nil, err
	}
	response, err := call(ctx, c, "listVms", c.config.CallTimeout, &platformv1.ListVmsRequest{}, c.config.Service.ListVms)
	if err != nil {
		return nil, err
	}
	if !c.advanceList(response.GetRevision()) {
		return nil, ErrStaleList
	}
	vms := make([]VM, 0, len(response.GetVms()))
	for _, v := range response.GetVms() {
		address, err := netip.ParseAddrPort(v.GetPeerAddress())
		if err != nil {
			return nil, eris.Wrapf(err, "platform: peer address of VM %q", v.GetName())
		}
		vms = append(vms, VM{
			Name:        v.GetName(),
			DataCentre:  v.GetDataCentre(),
			PeerAddress: address,
			Leaving:     v.GetState() == platformv1.VmState_VM_STATE_LEAVING,
		})
	}
	return vms, nil
}

// Watch waits until a key's revision has passed the given one.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, bool, error) {
	if err := c.awaitBackoff(ctx); err != nil {
		return Entry{}, false, err
	}
	request := &platformv1.WatchRequest{
		Key:           key,
		AfterRevision: after,
		Wait:          durationpb.New(wait),
	}
	response, err := call(ctx, c, "watch", wait+c.config.CallTimeout, request, c.config.Service.Watch)
	if err != nil {
		return Entry{}, false, err
	}
	return entryOf(key, response.GetEntry()), response.GetChanged(), nil
}

// advanceList records the revision of a list, or returns false if it is lower
// than that of an earlier one.
func (c *Client) advanceList(revision uint64) bool {
	for {
		last := c.listRevision.Load()
		if revision < last {
			return false
		}
		if c.listRevision.CompareAndSwap(last, revision) {
			return true
		}
	}
}

// awaitBackoff returns an error only if nothing was sent.
func (c *Client) awaitBackoff(ctx context.Context) error {
	wait := c.backoff.wait(c.config.Timer.Now())
	if wait == 0 {
		return ctx.Err()
	}
	return timer.Sleep(ctx, c.config.Timer, wait)
}

// call makes one call with a timeout and counts it.
func call[Q, R any](ctx context.Context, c *Client, kind string, timeout time.Duration, request Q,
	send func(context.Context, Q) (R, error)) (R, error) {
	count(c.config.Metrics, "platform."+kind+".calls")
	child, cancel := timer.WithTimeout(ctx, c.config.Timer, timeout)
	defer cancel()
	response, err := send(child, request)
	if err == nil {
		c.backoff.succeeded()
		return response, nil
	}
	count(c.config.Metrics, "platform."+kind+".failures")
	// A call that the caller gave up tells nothing of the service.
	if ctx.Err() == nil {
		c.backoff.failed(c.config.Timer.Now())
	}
	c.config.Logger.V(1).Info("platform: call failed", "call", kind, "error", err.Error())
	return response, eris.Wrapf(err, "platform: %s", kind)
}

func count(registry metrics.Registry, name string) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}

func entryOf(key string, entry *platformv1.Entry) Entry {
	return Entry{
		Key:      key,
		Value:    entry.GetValue(),
		Revision: entry.GetRevision(),
		Found:    entry.GetRevision() != 0,
	}
}
