// Package settings loads and validates the YAML settings file of a proxy process, and
// loads the TLS files and session keys that it names.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/settings/strictyaml"
)

// Log levels and formats.
const (
	LevelDebug    = "debug"
	LevelInfo     = "info"
	LevelError    = "error"
	FormatConsole = "console"
	FormatJSON    = "json"
)

// Settings are the settings of a proxy process.
type Settings struct {
	VM          string `json:"vm" yaml:"vm"`
	DataCentre  string `json:"dataCentre" yaml:"dataCentre"`
	Region      string `json:"region" yaml:"region"`
	StoreRegion string `json:"storeRegion" yaml:"storeRegion"`

	CallerListen netip.AddrPort `json:"callerListen" yaml:"callerListen"`
	PeerListen   netip.AddrPort `json:"peerListen" yaml:"peerListen"`
	// PeerAddress is the address under which other VMs connect to the peer listener;
	// the default is PeerListen. The source address of outgoing connections is the IP
	// address of PeerListen.
	PeerAddress    netip.AddrPort `json:"peerAddress" yaml:"peerAddress,omitempty"`
	OperatorListen netip.AddrPort `json:"operatorListen" yaml:"operatorListen"`
	// ObserveListen serves metrics, the state dump and the readiness check.
	ObserveListen netip.AddrPort `json:"observeListen" yaml:"observeListen"`

	PlatformAddress netip.AddrPort `json:"platformAddress" yaml:"platformAddress"`
	// MemoryMiB is the memory limit of the process in MiB, and MaxDescriptors that of its file
	// descriptors. From them follow the limits for callers; 0 for no such limits.
	MemoryMiB      int64 `json:"memoryMiB,omitempty" yaml:"memoryMiB,omitempty"`
	MaxDescriptors int   `json:"maxDescriptors,omitempty" yaml:"maxDescriptors,omitempty"`

	// SeedPeers are peer listeners to contact at the start if the platform is
	// unreachable.
	SeedPeers []netip.AddrPort `json:"seedPeers,omitempty" yaml:"seedPeers,omitempty"`

	// SessionKeyFile contains one base64 key per line; the first one signs. Paths of
	// files are relative to the directory of the settings file.
	SessionKeyFile string `json:"sessionKeyFile" yaml:"sessionKeyFile"`
	// CallerTLS, PeerTLS and OperatorTLS enable TLS on the listeners. A listener
	// without TLS accepts unencrypted connections, which is meant for tests.
	CallerTLS   *TLSFiles `json:"callerTls,omitempty" yaml:"callerTls,omitempty"`
	PeerTLS     *TLSFiles `json:"peerTls,omitempty" yaml:"peerTls,omitempty"`
	OperatorTLS *TLSFiles `json:"operatorTls,omitempty" yaml:"operatorTls,omitempty"`

	// LogLevel is debug, info (the default) or error.
	LogLevel string `json:"logLevel,omitempty" yaml:"logLevel,omitempty"`
	// LogFormat is json (the default) or console.
	LogFormat string `json:"logFormat,omitempty" yaml:"logFormat,omitempty"`
}

// Load reads a settings file and the files that it names. If the settings file could be
// read, the error is of type strictyaml.Errors and contains all errors found.
func Load(file string) (*Loaded, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the settings")
	}
	settings, positions, err := parse(file, source)
	if err != nil {
		return nil, err
	}
	loader := &loader{
		directory: filepath.Dir(file),
		positions: positions,
	}
	loaded := loader.load(settings)
	if err := loader.errors.ErrorOrNil(); err != nil {
		return nil, err
	}
	return loaded, nil
}

// Check returns all errors in a settings file and in the files that it names, for the
// flag --check of a program.
func Check(file string) error {
	_, err := Load(file)
	return err
}

// Parse decodes and validates settings without reading the files that they name.
func Parse(file string, source []byte) (*Settings, error) {
	settings, _, err := parse(file, source)
	return settings, err
}

func parse(file string, source []byte) (*Settings, *strictyaml.Positions, error) {
	settings := &Settings{
		LogLevel:  LevelInfo,
		LogFormat: FormatJSON,
	}
	positions, err := strictyaml.Decode(file, source, settings)
	if err != nil {
		return nil, nil, err
	}
	c := &checker{positions: positions}
	c.check(settings)
	if err := c.errors.ErrorOrNil(); err != nil {
		return nil, nil, err
	}
	return settings, positions, nil
}

type checker struct {
	positions *strictyaml.Positions
	errors    strictyaml.Errors
}

func (c *checker) addError(field, message string) {
	c.errors = append(c.errors, c.positions.ErrorAt(field, message))
}

func (c *checker) check(s *Settings) {
	c.checkNonEmpty("vm", s.VM)
	c.checkNonEmpty("dataCentre", s.DataCentre)
	c.checkNonEmpty("region", s.Region)
	c.checkNonEmpty("storeRegion", s.StoreRegion)
	c.checkListeners(s)
	if !s.PeerAddress.IsValid() {
		s.PeerAddress = s.PeerListen
	}
	c.checkDialAddress("peerAddress", s.PeerAddress)
	c.checkDialAddress("platformAddress", s.PlatformAddress)
	for i, peer := range s.SeedPeers {
		c.checkDialAddress(fmt.Sprintf("seedPeers[%d]", i), peer)
	}
	c.checkNotNegative("memoryMiB", s.MemoryMiB)
	c.checkNotNegative("maxDescriptors", int64(s.MaxDescriptors))
	c.checkNonEmpty("sessionKeyFile", s.SessionKeyFile)
	c.checkTLS("callerTls", s.CallerTLS, false)
	c.checkTLS("peerTls", s.PeerTLS, true)
	c.checkTLS("operatorTls", s.OperatorTLS, true)
	c.checkOneOf("logLevel", s.LogLevel, LevelDebug, LevelInfo, LevelError)
	c.checkOneOf("logFormat", s.LogFormat, FormatConsole, FormatJSON)
}

// checkListeners reports missing and duplicate addresses. Port 0 may be used more than
// once, because the operating system picks a port for each listener.
func (c *checker) checkListeners(s *Settings) {
	listeners := []struct {
		field   string
		address netip.AddrPort
	}{
		{field: "callerListen", address: s.CallerListen},
		{field: "peerListen", address: s.PeerListen},
		{field: "operatorListen", address: s.OperatorListen},
		{field: "observeListen", address: s.ObserveListen},
	}
	fieldByAddress := map[netip.AddrPort]string{}
	for _, listener := range listeners {
		if !listener.address.IsValid() {
			c.addError(listener.field, "must be an IP address and port")
			continue
		}
		if other, duplicate := fieldByAddress[listener.address]; duplicate && listener.address.Port() != 0 {
			c.addError(listener.field, "must differ from "+other)
		}
		fieldByAddress[listener.address] = listener.field
	}
}

func (c *checker) checkDialAddress(field string, address netip.AddrPort) {
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.addError(field, "must be an IP address other than 0.0.0.0 or :: and a port other than 0")
	}
}

func (c *checker) checkNonEmpty(field, value string) {
	if value == "" {
		c.addError(field, "must be set")
	}
}

func (c *checker) checkNotNegative(field string, value int64) {
	if value < 0 {
		c.addError(field, "must not be negative")
	}
}

func (c *checker) checkTLS(field string, files *TLSFiles, mutual bool) {
	if files == nil {
		return
	}
	c.checkNonEmpty(field+".certificateFile", files.CertificateFile)
	c.checkNonEmpty(field+".keyFile", files.KeyFile)
	if mutual {
		c.checkNonEmpty(field+".caFile", files.CAFile)
	}
}

func (c *checker) checkOneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addError(field, fmt.Sprintf("must be one of %v, is %q", allowed, value))
	}
}
