package session

// Handle identifies an open transaction and its home, the VM that runs its
// statements.
type Handle struct {
	// VM is the home. Incarnation identifies the process on it, which changes with
	// each restart.
	VM          string
	Incarnation uint64
	Transaction string
	Workspace   string
	Database    string
	Endpoint    string
	// KeyID identifies the API key of the caller that opened the transaction. It is
	// not secret.
	KeyID string
}
