package commands

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// addressList is a flag value that holds a list of addresses.
type addressList []netip.AddrPort

// IsCumulative tells kingpin that the flag may be repeated.
func (l *addressList) IsCumulative() bool { return true }

// Set parses addresses separated by commas and appends them to the list.
func (l *addressList) Set(text string) error {
	for address := range strings.SplitSeq(text, ",") {
		parsed, err := netip.ParseAddrPort(strings.TrimSpace(address))
		if err != nil {
			return eris.Errorf("--proxy requires the IP:PORT of an operator listener, got %q", address)
		}
		*l = append(*l, parsed)
	}
	return nil
}

// String returns the addresses separated by commas.
func (l *addressList) String() string {
	texts := make([]string, 0, len(*l))
	for _, address := range *l {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}
