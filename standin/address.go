package main

import (
	"net/netip"
)

// address is an IP address and port as the value of a flag.
type address struct {
	netip.AddrPort
}

// Set parses the value.
func (a *address) Set(text string) error {
	return a.UnmarshalText([]byte(text))
}
