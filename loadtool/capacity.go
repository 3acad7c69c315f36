package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/loadtool/capacity"
	"amaranthdock.dev/timer"
)

func addCapacity(ctx context.Context, app *kingpin.Application) {
	command := app.Command("capacity", "Measure the resource use of a proxy and how it grows with the fleet.")
	bin := command.Flag("bin", "Directory of the programs.").Default("bin").String()
	file := command.Flag("json", "File for the report in JSON.").String()
	series := command.Flag("series", "Series to measure; default: all.").Enums(capacity.Names()...)
	vms := command.Flag("vms", "Fleet size in the series vms; may be repeated.").Default("7", "14", "28", "56").Ints()
	command.Action(func(*kingpin.ParseContext) error {
		config := capacity.Config{
			BinDir: *bin,
			Output: os.Stdout,
			Timer:  timer.NewSystem(),
			Series: *series,
			VMs:    *vms,
		}
		if *file == "" {
			return capacity.Run(ctx, config)
		}
		output, err := os.Create(*file)
		if err != nil {
			return eris.Wrap(err, "create the report")
		}
		config.JSON = output
		return closeAfter(output, capacity.Run(ctx, config))
	})
}

// closeAfter closes a file. It returns err, or else the error of closing the file.
func closeAfter(file io.Closer, err error) error {
	if closeErr := file.Close(); err == nil && closeErr != nil {
		return eris.Wrap(closeErr, "close the report")
	}
	return err
}
