// Package settings is not built yet.
package settings
