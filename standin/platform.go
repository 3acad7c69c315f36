package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/standin/platform"
	"amaranthdock.dev/timer"
)

type platformCommand struct {
	listen  address
	listLag time.Duration
}

func addPlatform(app *kingpin.Application) {
	c := &platformCommand{}
	command := app.Command("platform", "Run a simulated platform service: the key-value store and the VM list.").Action(c.run)
	command.Flag("listen", "Address on which to serve the platform protocol and the admin pages below /admin/.").Required().SetValue(&c.listen)
	command.Flag("list-lag", "Delay before a change of the VM list becomes visible.").Default("2s").DurationVar(&c.listLag)
}

func (c *platformCommand) run(*kingpin.ParseContext) error {
	logger, err := newLogger()
	if err != nil {
		return err
	}
	p, err := platform.New(platform.Config{
		Listen:  c.listen.AddrPort,
		Timer:   timer.NewSystem(),
		Logger:  logger,
		ListLag: c.listLag,
	})
	if err != nil {
		return err
	}
	ctx, cancel := contextWithSignals()
	defer cancel()
	return p.Run(ctx)
}
