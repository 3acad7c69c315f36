// Command standin runs simulated versions of the systems that the proxy depends on:
// database members and the platform. It is for tests and the demo.
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
	app := kingpin.New("standin", "Simulated database members and platform service for tests of amaranthdock.")
	app.HelpFlag.Short('h')
	addMember(app)
	addPlatform(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

// newLogger returns a logger that writes to the standard error.
func newLogger() (logr.Logger, error) {
	return observe.NewLogger(observe.LoggerConfig{
		Level:  "info",
		Format: "console",
		Output: os.Stderr,
	})
}

// contextWithSignals returns a context that is cancelled by an interrupt or SIGTERM.
func contextWithSignals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
