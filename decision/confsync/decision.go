package confsync

// Decision is the action that the caller has to take after learning of a version.
type Decision interface {
	decision()
}

// Fetch tells the caller to fetch the configuration from the peer that reported the
// version.
type Fetch struct {
	// NewerThan is the active version.
	NewerThan uint64
}

// None means that no action is needed.
type None struct{}

func (Fetch) decision() {}
func (None) decision()  {}
