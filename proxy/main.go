// Command amaranthdock is the database proxy; the same program runs on every VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/settings"
)

func main() {
	// The settings are read only at the start. Without this, SIGHUP would end the process, also
	// while it shuts down, and so would the end of the reader of its log.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	app := kingpin.New("amaranthdock", "A database proxy with session consistency.")
	app.HelpFlag.Short('h')
	file := app.Flag("settings", "YAML file with the settings of this process.").Required().ExistingFile()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *check {
		app.FatalIfError(settings.Check(*file), "settings")
		fmt.Println("The settings are valid.")
		return
	}
	loaded, err := settings.Load(*file)
	app.FatalIfError(err, "settings")
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	app.FatalIfError(run(ctx, loaded), "amaranthdock")
}
