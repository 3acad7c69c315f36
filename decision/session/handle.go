package session

// Handle names an open transaction at its home.
type Handle struct {
	// VM is the home, and Incarnation the start of its process.
	VM          string
	Incarnation uint64
	Transaction string
	Workspace   string
	Database    string
	Endpoint    string
	// KeyID of the caller that opened the transaction; it is not secret.
	KeyID string
}
