// Package client is a Go client of the proxies. It keeps the tokens of a session
// and merges them over concurrent requests.
package client
