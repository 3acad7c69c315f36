// Package settings holds the settings of a proxy process: strict YAML, checks,
// TLS files and session keys.
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

// Settings of a proxy process.
type Settings struct {
	VM          string `json:"vm" yaml:"vm"`
	DataCentre  string `json:"dataCentre" yaml:"dataCentre"`
	Region      string `json:"region" yaml:"region"`
	StoreRegion string `json:"storeRegion" yaml:"storeRegion"`

	CallerListen netip.AddrPort `json:"callerListen" yaml:"callerListen"`
	PeerListen   netip.AddrPort `json:"peerListen" yaml:"peerListen"`
	// PeerAddress is where other VMs reach the peer listener; PeerListen if it
	// is absent. Connections to other hosts leave from PeerListen's address.
	PeerAddress    netip.AddrPort `json:"peerAddress" yaml:"peerAddress,omitempty"`
	OperatorListen netip.AddrPort `json:"operatorListen" yaml:"operatorListen"`
	// ObserveListen serves metrics, the state dump and readiness.
	ObserveListen netip.AddrPort `json:"observeListen" yaml:"observeListen"`

	PlatformAddress netip.AddrPort `json:"platformAddress" yaml:"platformAddress"`
	// SeedPeers are peer listeners to start from if the platform is out.
	SeedPeers []netip.AddrPort `json:"seedPeers,omitempty" yaml:"seedPeers,omitempty"`

	// SessionKeyFile has one base64 key a line; the first one signs. Files are
	// relative to the directory of the settings file.
	SessionKeyFile string `json:"sessionKeyFile" yaml:"sessionKeyFile"`
	// CallerTLS, PeerTLS and OperatorTLS; plain text if absent, for tests.
	CallerTLS   *TLSFiles `json:"callerTls,omitempty" yaml:"callerTls,omitempty"`
	PeerTLS     *TLSFiles `json:"peerTls,omitempty" yaml:"peerTls,omitempty"`
	OperatorTLS *TLSFiles `json:"operatorTls,omitempty" yaml:"operatorTls,omitempty"`

	// LogLevel is debug, info (the default) or error.
	LogLevel string `json:"logLevel,omitempty" yaml:"logLevel,omitempty"`
	// LogFormat is json (the default) or console.
	LogFormat string `json:"logFormat,omitempty" yaml:"logFormat,omitempty"`
}

// Load reads a settings file and the files that it names. The error is of type
// strictyaml.Errors if the file was read, and holds all faults.
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
	if err := loader.faults.Or(); err != nil {
		return nil, err
	}
	return loaded, nil
}

// Check reports all faults of a settings file and of the files that it names,
// for the flag --check of a program.
func Check(file string) error {
	_, err := Load(file)
	return err
}

// Parse decodes and checks settings without reading the files that they name.
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
	if err := c.faults.Or(); err != nil {
		return nil, nil, err
	}
	return settings, positions, nil
}

type checker struct {
	positions *strictyaml.Positions
	faults    strictyaml.Errors
}

func (c *checker) add(field, message string) {
	c.faults = append(c.faults, c.positions.ErrorAt(field, message))
}

func (c *checker) check(s *Settings) {
	c.checkText("vm", s.VM)
	c.checkText("dataCentre", s.DataCentre)
	c.checkText("region", s.Region)
	c.checkText("storeRegion", s.StoreRegion)
	c.checkListeners(s)
	if !s.PeerAddress.IsValid() {
		s.PeerAddress = s.PeerListen
	}
	c.checkTarget("peerAddress", s.PeerAddress)
	c.checkTarget("platformAddress", s.PlatformAddress)
	for i, peer := range s.SeedPeers {
		c.checkTarget(fmt.Sprintf("seedPeers[%d]", i), peer)
	}
	c.checkText("sessionKeyFile", s.SessionKeyFile)
	c.checkTLS("callerTls", s.CallerTLS, false)
	c.checkTLS("peerTls", s.PeerTLS, true)
	c.checkTLS("operatorTls", s.OperatorTLS, true)
	c.checkWord("logLevel", s.LogLevel, LevelDebug, LevelInfo, LevelError)
	c.checkWord("logFormat", s.LogFormat, FormatConsole, FormatJSON)
}

// checkListeners reports absent addresses and addresses that are used twice;
// port 0 may repeat, because the system picks a port for each.
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
	owners := map[netip.AddrPort]string{}
	for _, listener := range listeners {
		if !listener.address.IsValid() {
			c.add(listener.field, "must be an IP address and port")
			continue
		}
		if owner, taken := owners[listener.address]; taken && listener.address.Port() != 0 {
			c.add(listener.field, "has the address of "+owner)
		}
		owners[listener.address] = listener.field
	}
}

func (c *checker) checkTarget(field string, address netip.AddrPort) {
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(field, "must be an IP address and port that can be reached")
	}
}

func (c *checker) checkText(field, value string) {
	if value == "" {
		c.add(field, "must be set")
	}
}

func (c *checker) checkTLS(field string, files *TLSFiles, mutual bool) {
	if files == nil {
		return
	}
	c.checkText(field+".certificateFile", files.CertificateFile)
	c.checkText(field+".keyFile", files.KeyFile)
	if mutual {
		c.checkText(field+".caFile", files.CAFile)
	}
}

func (c *checker) checkWord(field, value string, words ...string) {
	if !slices.Contains(words, value) {
		c.add(field, fmt.Sprintf("must be one of %v, is %q", words, value))
	}
}
