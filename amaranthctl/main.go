// Command amaranthctl is the command-line tool for operators of amaranthdock.
package main

import (
	"os"

	"amaranthdock.dev/amaranthctl/commands"
	"amaranthdock.dev/timer"
)

func main() {
	os.Exit(commands.Run(commands.Config{
		Arguments: os.Args[1:],
		Output:    os.Stdout,
		Errors:    os.Stderr,
		Timer:     timer.NewSystem(),
		Exit:      os.Exit,
	}))
}
