// Command standin runs stand-ins of the systems around the proxy, for tests and
// the demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"

	"amaranthdock.dev/observe"
)

func main() {
	app := kingpin.New("standin", "Stand-ins of the systems around amaranthdock.")
	app.HelpFlag.Short('h')
	addMember(app)
	addPlatform(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

// newLogger returns a logger to the standard error.
func newLogger() (logr.Logger, error) {
	return observe.NewLogger(observe.LoggerConfig{
		Level:  "info",
		Format: "console",
		Output: os.Stderr,
	})
}

// withSignals returns a context that ends on an interrupt or SIGTERM.
func withSignals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
