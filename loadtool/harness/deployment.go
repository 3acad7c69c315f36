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
	// WorkDir receives settings, logs and the members' data files.
	WorkDir string
	// Subnet is the second byte of the loopback addresses, 1 to 254, so that several
	// deployments can run at the same time.
	Subnet byte
	// DisablePeerTLS disables TLS between the proxies, so that a tap can read their messages.
	DisablePeerTLS bool
	// VMSettings are further lines of the settings of each VM.
	VMSettings string
	// Tap, if not nil, returns the tap of the relay in front of a host.
	Tap   func(host string) relay.Tap
	Timer timer.Service
}

// Deployment is a set of running processes: the platform, the database members and the VMs.
type Deployment struct {
	Network  *Network
	Platform *Process
	Members  []*Member
	VMs      []*VM

	config       Config
	certificates *Certificates
	platform     hostAddress
	relays       []*relay.Relay
	http         *http.Client
}

// Member is a running database endpoint.
type Member struct {
	*Process
	Endpoint   string
	Database   string
	DataCentre string
	address    hostAddress
}

// VM is a running proxy. Caller, Operator and Observe are the addresses on which it serves
// callers, operators, and its metrics and readiness.
type VM struct {
	*Process
	DataCentre   string
	Region       string
	Caller       netip.AddrPort
	Operator     netip.AddrPort
	Observe      netip.AddrPort
	peerAddress  hostAddress
	settingsFile string
}

// hostAddress holds the address on which a process listens, and the address on which the
// relay in front of it listens, which other hosts use.
type hostAddress struct {
	host      host
	listen    netip.AddrPort
	advertise netip.AddrPort
}

// The third byte of a loopback address identifies the kind of the host.
const (
	platformByte = 1
	memberByte   = 2
	vmByte       = 3
	// relayOffset is added to the third byte for the relay in front of a host.
	relayOffset = 100
)

// readyTimeout limits the wait until a process accepts connections or is ready.
const readyTimeout = 20 * time.Second

// Start starts all processes and waits until they accept connections.
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

// Stop ends all processes and closes the relays.
func (d *Deployment) Stop() {
	for _, p := range d.processes() {
		// A paused process must be resumed first. Errors are ignored, because nothing can be
		// done about them.
		_ = p.Continue()
		_ = p.Kill()
	}
	for _, r := range d.relays {
		r.Close()
	}
}

// SetVMList sets the platform's list of live VMs; leaving holds the names of the VMs in the
// list that are about to leave.
func (d *Deployment) SetVMList(ctx context.Context, live []*VM, leaving ...string) error {
	type platformVM struct {
		Name        string         `json:"name"`
		DataCentre  string         `json:"dataCentre"`
		PeerAddress netip.AddrPort `json:"peerAddress"`
		Leaving     bool           `json:"leaving"`
	}
	list := make([]platformVM, 0, len(live))
	for _, v := range live {
		list = append(list, platformVM{
			Name:        v.Name,
			DataCentre:  v.DataCentre,
			PeerAddress: v.peerAddress.advertise,
			Leaving:     slices.Contains(leaving, v.Name),
		})
	}
	body, err := json.Marshal(map[string]any{
		"vms": list,
	})
	if err != nil {
		return eris.Wrap(err, "harness: encode the VM list")
	}
	return d.PostToPlatform(ctx, "/admin/vms", body)
}

// PostToPlatform posts to the admin API of the stand-in platform.
func (d *Deployment) PostToPlatform(ctx context.Context, path string, body []byte) error {
	return d.post(ctx, "http://"+d.platform.listen.String()+path, body)
}

// PostToMember posts to the admin API of a stand-in member.
func (d *Deployment) PostToMember(ctx context.Context, m *Member, path string) error {
	return d.post(ctx, "http://"+m.address.listen.String()+path, nil)
}

// MemberURL returns the base URL of a member's own listener, which bypasses its relay.
func (d *Deployment) MemberURL(m *Member) string {
	return "http://" + m.address.listen.String()
}

// PlatformURL returns the base URL of the platform's own listener, which bypasses its relay.
func (d *Deployment) PlatformURL() string {
	return "http://" + d.platform.listen.String()
}

func (d *Deployment) post(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "harness: create a request")
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
		// A member has no process if the start failed before it.
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
	if d.platform, err = d.addHost("platform", d.config.Spec.StoreRegion, platformByte, 1); err != nil {
		return err
	}
	if err := d.placeMembers(); err != nil {
		return err
	}
	if err := d.placeVMs(); err != nil {
		return err
	}
	if err := d.writeSecrets(); err != nil {
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

// addHost chooses the addresses of a host, adds it to the network and starts its relay.
func (d *Deployment) addHost(name, region string, thirdByte, fourthByte byte) (hostAddress, error) {
	address := netip.AddrFrom4([4]byte{127, d.config.Subnet, thirdByte, fourthByte})
	listen, err := freePort(address)
	if err != nil {
		return hostAddress{}, err
	}
	advertise, err := freePort(netip.AddrFrom4([4]byte{127, d.config.Subnet, thirdByte + relayOffset, fourthByte}))
	if err != nil {
		return hostAddress{}, err
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
		RuleFor: d.Network.ruleFor(h),
		Timer:   d.config.Timer,
	})
	if err != nil {
		return hostAddress{}, err
	}
	d.relays = append(d.relays, r)
	return hostAddress{
		host:      h,
		listen:    listen,
		advertise: advertise,
	}, nil
}

func (d *Deployment) writeSecrets() error {
	var addresses []netip.Addr
	for _, v := range d.VMs {
		addresses = append(addresses, v.peerAddress.listen.Addr(), v.peerAddress.advertise.Addr())
	}
	certificates, err := CreateCertificates(CertificateConfig{
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
		return eris.Wrap(err, "harness: write the session key")
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
func WaitFor(ctx context.Context, clock timer.Service, timeout time.Duration, check func() error) error {
	const interval = 20 * time.Millisecond
	deadline := clock.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if clock.Now().After(deadline) {
			return err
		}
		if err := timer.Sleep(ctx, clock, interval); err != nil {
			return eris.Wrap(err, "harness: wait")
		}
	}
}

// Listeners use ports below the range from which the system chooses the source ports of
// outgoing connections, because these use the same addresses.
const (
	firstPort       = 10_000
	lastPort        = 32_000
	maxPortAttempts = 100
)

func freePort(address netip.Addr) (netip.AddrPort, error) {
	var lastErr error
	for range maxPortAttempts {
		candidate := netip.AddrPortFrom(address, uint16(firstPort+rand.IntN(lastPort-firstPort)))
		listener, err := net.Listen("tcp", candidate.String())
		if err == nil {
			return candidate, listener.Close()
		}
		lastErr = err
	}
	return netip.AddrPort{}, eris.Wrapf(lastErr, "harness: find a free port on %s", address)
}

func joinLines(lines ...string) string {
	return strings.Join(lines, "\n") + "\n"
}

func yamlField(name string, value any) string {
	return fmt.Sprintf("%s: %q", name, fmt.Sprint(value))
}
