package confsync

// Decision is what the caller has to do about a version that it heard of.
type Decision interface {
	decision()
}

// Fetch asks to fetch the configuration from the peer that named the version.
type Fetch struct {
	// NewerThan is the version in effect.
	NewerThan uint64
}

// None asks for nothing.
type None struct{}

func (Fetch) decision() {}
func (None) decision()  {}
