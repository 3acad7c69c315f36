// Package client is not built yet.
package client
