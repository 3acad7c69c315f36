package harness

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/loadtool/relay"
	"amaranthdock.dev/timer"
)

// Config configures a Deployment.
type Config struct {
	Spec Spec
	// BinDir holds the programs.
	BinDir string
	// WorkDir receives settings, logs and the members' data.
	WorkDir string
	// Subnet is the second number of the loopback addresses, 1 to 254, so that
	// deployments can run side by side.
	Subnet byte
	// DisablePeerTLS leaves the TLS of the peer protocol out of the settings, so that
	// a tap can read it.
	DisablePeerTLS bool
	// Tap, if not nil, returns the tap of the relay before a host.
	Tap   func(host string) relay.Tap
	Timer timer.Service
}

// Deployment is a running platform, its members and its VMs.
type Deployment struct {
	Network  *Network
	Platform *Process
	Members  []*Member
	VMs      []*VM

	config       Config
	certificates *Certificates
	platform     endpointAddress
	relays       []*relay.Relay
	http         *http.Client
}

// Member is a running database member.
type Member struct {
	*Process
	Endpoint   string
	Database   string
	DataCentre string
	address    endpointAddress
}

// VM is a running proxy.
type VM struct {
	*Process
	DataCentre string
	Region     string
	Caller     netip.AddrPort
	Operator   netip.AddrPort
	Observe    netip.AddrPort
	peer       endpointAddress
	settings   string
}

// endpointAddress is where a process listens and where the relay before it does.
type endpointAddress struct {
	host      host
	listen    netip.AddrPort
	advertise netip.AddrPort
}

// Third numbers of the loopback addresses.
const (
	platformNet = 1
	memberNet   = 2
	vmNet       = 3
	// relayNet is added for the address of the relay before a host.
	relayNet = 100
)

// readyTimeout bounds the wait for a process to serve.
const readyTimeout = 20 * time.Second

// Start starts all processes and waits until they serve.
func Start(ctx context.Context, config Config) (*Deployment, error) {
	d := &Deployment{
		config:  config,
		Network: newNetwork(config.Spec),
		http: &http.Client{
			Timeout: readyTimeout,
		},
	}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// Stop ends all processes.
func (d *Deployment) Stop() {
	for _, p := range d.processes() {
		// A paused process cannot end otherwise; errors leave nothing to do.
		_ = p.Continue()
		_ = p.Kill()
	}
	for _, r := range d.relays {
		r.Close()
	}
}

// SetVMList tells the platform which VMs are live; leaving names those that are
// about to go.
func (d *Deployment) SetVMList(ctx context.Context, live []*VM, leaving ...string) error {
	type listed struct {
		Name        string         `json:"name"`
		DataCentre  string         `json:"dataCentre"`
		PeerAddress netip.AddrPort `json:"peerAddress"`
		Leaving     bool           `json:"leaving"`
	}
	list := make([]listed, 0, len(live))
	for _, v := range live {
		list = append(list, listed{
			Name:        v.Name,
			DataCentre:  v.DataCentre,
			PeerAddress: v.peer.advertise,
			Leaving:     slices.Contains(leaving, v.Name),
		})
	}
	body, err := json.Marshal(map[string]any{
		"vms": list,
	})
	if err != nil {
		return eris.Wrap(err, "harness: VM list")
	}
	return d.PostToPlatform(ctx, "/admin/vms", body)
}

// PostToPlatform posts to the administration of the stand-in platform.
func (d *Deployment) PostToPlatform(ctx context.Context, path string, body []byte) error {
	return d.post(ctx, "http://"+d.platform.listen.String()+path, body)
}

// PostToMember posts to the administration of a stand-in member.
func (d *Deployment) PostToMember(ctx context.Context, m *Member, path string) error {
	return d.post(ctx, "http://"+m.address.listen.String()+path, nil)
}

// MemberURL returns the base URL of a member, past its relay.
func (d *Deployment) MemberURL(m *Member) string {
	return "http://" + m.address.listen.String()
}

// PlatformURL returns the base URL of the platform, past its relay.
func (d *Deployment) PlatformURL() string {
	return "http://" + d.platform.listen.String()
}

func (d *Deployment) post(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "harness: request")
	}
	response, err := d.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "harness: post %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("harness: post %s: status %d", url, response.StatusCode)
	}
	return nil
}

func (d *Deployment) processes() []*Process {
	var processes []*Process
	for _, v := range d.VMs {
		processes = append(processes, v.Process)
	}
	for _, m := range d.Members {
		// A start that failed leaves members without a process.
		if m.Process != nil {
			processes = append(processes, m.Process)
		}
	}
	if d.Platform != nil {
		processes = append(processes, d.Platform)
	}
	return processes
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.platform, err = d.place("platform", d.config.Spec.StoreRegion, platformNet, 1); err != nil {
		return err
	}
	if err := d.placeMembers(); err != nil {
		return err
	}
	if err := d.dataCentreVMs(); err != nil {
		return err
	}
	if err := d.makeFiles(); err != nil {
		return err
	}
	if err := d.startPlatform(ctx); err != nil {
		return err
	}
	if err := d.startMembers(ctx); err != nil {
		return err
	}
	return d.startVMs(ctx)
}

// place picks addresses for a host and puts a relay before it.
func (d *Deployment) place(name, region string, net, number byte) (endpointAddress, error) {
	address := netip.AddrFrom4([4]byte{127, d.config.Subnet, net, number})
	listen, err := freePort(address)
	if err != nil {
		return endpointAddress{}, err
	}
	advertise, err := freePort(netip.AddrFrom4([4]byte{127, d.config.Subnet, net + relayNet, number}))
	if err != nil {
		return endpointAddress{}, err
	}
	h := host{
		name:    name,
		region:  region,
		address: address,
	}
	d.Network.add(h)
	var tap relay.Tap
	if d.config.Tap != nil {
		tap = d.config.Tap(name)
	}
	r, err := relay.New(relay.Config{
		Listen:  advertise,
		Tap:     tap,
		Target:  listen,
		RuleFor: d.Network.rules(h),
		Timer:   d.config.Timer,
	})
	if err != nil {
		return endpointAddress{}, err
	}
	d.relays = append(d.relays, r)
	return endpointAddress{
		host:      h,
		listen:    listen,
		advertise: advertise,
	}, nil
}

func (d *Deployment) makeFiles() error {
	var addresses []netip.Addr
	for _, v := range d.VMs {
		addresses = append(addresses, v.peer.listen.Addr(), v.peer.advertise.Addr())
	}
	certificates, err := MakeCertificates(CertificatesConfig{
		Dir:       d.config.WorkDir,
		Addresses: addresses,
		Timer:     d.config.Timer,
	})
	if err != nil {
		return err
	}
	d.certificates = certificates
	key := make([]byte, 32)
	// rand.Read never fails.
	_, _ = cryptorand.Read(key)
	text := base64.StdEncoding.EncodeToString(key) + "\n"
	if err := os.WriteFile(d.sessionKeyFile(), []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "harness: session key")
	}
	return nil
}

func (d *Deployment) sessionKeyFile() string {
	return filepath.Join(d.config.WorkDir, "session.key")
}

func (d *Deployment) startPlatform(ctx context.Context) error {
	var err error
	d.Platform, err = StartProcess(ProcessConfig{
		Name:   "platform",
		Binary: filepath.Join(d.config.BinDir, "standin"),
		Args:   []string{"platform", "--listen", d.platform.listen.String(), "--list-lag", "500ms"},
		LogDir: d.config.WorkDir,
	})
	if err != nil {
		return err
	}
	return d.waitListening(ctx, d.platform.listen)
}

// waitListening waits until an address accepts connections.
func (d *Deployment) waitListening(ctx context.Context, address netip.AddrPort) error {
	return WaitFor(ctx, d.config.Timer, readyTimeout, func() error {
		c, err := net.Dial("tcp", address.String())
		if err != nil {
			return eris.Wrapf(err, "harness: %s is not listening", address)
		}
		return c.Close()
	})
}

// WaitFor polls a check until it passes; at the timeout it returns the last error.
func WaitFor(ctx context.Context, service timer.Service, timeout time.Duration, check func() error) error {
	const interval = 20 * time.Millisecond
	end := service.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if service.Now().After(end) {
			return err
		}
		if err := timer.Sleep(ctx, service, interval); err != nil {
			return eris.Wrap(err, "harness: wait")
		}
	}
}

// Ports of listeners are below the range from which the system takes the ports of
// outgoing connections, which leave from the same addresses.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 100
)

func freePort(address netip.Addr) (netip.AddrPort, error) {
	var failure error
	for range portTries {
		picked := netip.AddrPortFrom(address, uint16(firstPort+rand.IntN(lastPort-firstPort)))
		listener, err := net.Listen("tcp", picked.String())
		if err == nil {
			return picked, listener.Close()
		}
		failure = err
	}
	return netip.AddrPort{}, eris.Wrapf(failure, "harness: free port on %s", address)
}

func joinLines(lines ...string) string {
	return strings.Join(lines, "\n") + "\n"
}

func quoted(name string, value any) string {
	return fmt.Sprintf("%s: %q", name, fmt.Sprint(value))
}
