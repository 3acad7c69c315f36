package caller

// takeOverloadRetry reports whether a read that a full endpoint refused may be sent to another one.
// With urgency across workspaces it takes the retry out of the workspace's budget: otherwise each
// read of a burst is sent twice while all endpoints of a database are full.
func (d *dispatch) takeOverloadRetry() bool {
	manager := d.session.manager
	return !manager.config.UrgencyAcrossWorkspaces || manager.takeRetry(d.auth.workspace)
}
