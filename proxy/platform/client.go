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

// DefaultCallTimeout is the default timeout of a call. The service usually responds
// within milliseconds.
const DefaultCallTimeout = 500 * time.Millisecond

// Client is a Store that calls the platform's service over Connect. After failed
// calls it delays further ones. It is safe for concurrent use.
type Client struct {
	config  Config
	backoff *backoff
	// listRevision is the highest revision of a VM list received so far.
	listRevision atomic.Uint64
}

// Config configures a Client.
type Config struct {
	// Service is the generated Connect client of the platform's service.
	Service platformv1connect.PlatformServiceClient
	Timer   timer.Service
	Logger  logr.Logger
	Metrics metrics.Registry
	// Random is the random source for jitter. It must not be shared with other code.
	Random *rand.Rand
	// CallTimeout is the timeout of a call; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

var _ Store = (*Client)(nil)

// New returns a Client.
func New(config Config) (*Client, error) {
	if config.Service == nil || config.Timer == nil || config.Metrics == nil || config.Random == nil {
		return nil, eris.New("platform: Config lacks Service, Timer, Metrics or Random")
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

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expectedRevision uint64) (Entry, bool, error) {
	if err := c.waitForBackoff(ctx); err != nil {
		return Entry{}, false, err
	}
	request := &platformv1.CompareAndSwapRequest{
		Key:              key,
		Value:            value,
		ExpectedRevision: expectedRevision,
	}
	response, err := call(ctx, c, "compareAndSwap", c.config.CallTimeout, request, c.config.Service.CompareAndSwap)
	if err != nil && isRejected(err) {
		return Entry{}, false, err
	}
	if err != nil {
		return Entry{}, false, &OutcomeUnknownError{
			Key:   key,
			Cause: err,
		}
	}
	return decodeEntry(key, response.GetEntry()), response.GetSwapped(), nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	if err := c.waitForBackoff(ctx); err != nil {
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
	return decodeEntry(key, response.GetEntry()), nil
}

// ListVMs implements Store. A single invalid address makes the whole list an error,
// because leaving out the VM would mean that the platform has removed it.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	if err := c.waitForBackoff(ctx); err != nil {
		return nil, err
	}
	response, err := call(ctx, c, "listVms", c.config.CallTimeout, &platformv1.ListVmsRequest{}, c.config.Service.ListVms)
	if err != nil {
		return nil, err
	}
	if !c.recordListRevision(response.GetRevision()) {
		return nil, ErrStaleList
	}
	vms := make([]VM, 0, len(response.GetVms()))
	for _, v := range response.GetVms() {
		address, err := netip.ParseAddrPort(v.GetPeerAddress())
		if err != nil {
			return nil, eris.Wrapf(err, "platform: parse the peer address of VM %q", v.GetName())
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

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (Entry, bool, error) {
	if err := c.waitForBackoff(ctx); err != nil {
		return Entry{}, false, err
	}
	request := &platformv1.WatchRequest{
		Key:           key,
		AfterRevision: afterRevision,
		Wait:          durationpb.New(wait),
	}
	response, err := call(ctx, c, "watch", wait+c.config.CallTimeout, request, c.config.Service.Watch)
	if err != nil {
		return Entry{}, false, err
	}
	return decodeEntry(key, response.GetEntry()), response.GetChanged(), nil
}

// recordListRevision records the revision of a VM list. It returns false if it is
// lower than that of a list received earlier.
func (c *Client) recordListRevision(revision uint64) bool {
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

// waitForBackoff waits until the next call may be sent. An error means that the
// context has ended, and that nothing has been sent.
func (c *Client) waitForBackoff(ctx context.Context) error {
	wait := c.backoff.delay(c.config.Timer.Now())
	if wait == 0 {
		return ctx.Err()
	}
	return timer.Sleep(ctx, c.config.Timer, wait)
}

// call makes one call with a timeout, and updates the metrics and the backoff.
func call[Q, R any](ctx context.Context, c *Client, method string, timeout time.Duration, request Q,
	send func(context.Context, Q) (R, error)) (R, error) {
	count(c.config.Metrics, "platform."+method+".calls")
	callCtx, cancel := timer.WithTimeout(ctx, c.config.Timer, timeout)
	defer cancel()
	response, err := send(callCtx, request)
	if err == nil {
		c.backoff.recordSuccess()
		return response, nil
	}
	count(c.config.Metrics, "platform."+method+".failures")
	// A call that was cancelled by the caller says nothing about the service.
	if ctx.Err() == nil {
		c.backoff.recordFailure(c.config.Timer.Now())
	}
	c.config.Logger.V(1).Info("A call to the platform's service failed.", "call", method, "error", err.Error())
	return response, eris.Wrapf(err, "platform: %s", method)
}

func count(registry metrics.Registry, name string) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}

func decodeEntry(key string, entry *platformv1.Entry) Entry {
	return Entry{
		Key:      key,
		Value:    entry.GetValue(),
		Revision: entry.GetRevision(),
		Found:    entry.GetRevision() != 0,
	}
}
