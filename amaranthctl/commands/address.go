package commands

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// addressList is a list of addresses as the value of a flag.
type addressList []netip.AddrPort

// IsCumulative lets the flag be repeated.
func (l *addressList) IsCumulative() bool { return true }

// Set adds addresses that are separated by commas.
func (l *addressList) Set(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return eris.Errorf("--proxy needs IP:PORT of an operator listener, has %q", part)
		}
		*l = append(*l, address)
	}
	return nil
}

// String returns the addresses separated by commas.
func (l *addressList) String() string {
	parts := make([]string, 0, len(*l))
	for _, address := range *l {
		parts = append(parts, address.String())
	}
	return strings.Join(parts, ",")
}
