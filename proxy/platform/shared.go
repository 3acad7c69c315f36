// Package platform speaks the protocol of the platform's service.
package platform

import (
	"net/netip"
)

// Entry is a key of the store. Revision is 0 if the key was not found.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Found    bool
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name        string
	Place       string
	PeerAddress netip.AddrPort
	Leaving     bool
}
