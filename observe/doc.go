// Package observe is not built yet.
package observe
