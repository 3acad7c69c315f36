package main

import (
	"net/netip"
)

// address is a flag value that holds an IP address and a port.
type address struct {
	netip.AddrPort
}

// Set parses the value of the flag.
func (a *address) Set(text string) error {
	return a.UnmarshalText([]byte(text))
}
