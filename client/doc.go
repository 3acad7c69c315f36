// Package client is a Go client for the proxy's caller API. It tracks the
// consistency tokens of a session, also across concurrent requests.
package client
