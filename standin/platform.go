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
	command := app.Command("platform", "Run the platform's service: the store and the VM list.").Action(c.run)
	command.Flag("listen", "Address of the protocol and of the admin pages below /admin/.").Required().SetValue(&c.listen)
	command.Flag("list-lag", "Time until a change of the VM list is visible.").Default("2s").DurationVar(&c.listLag)
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
	ctx, cancel := withSignals()
	defer cancel()
	return p.Run(ctx)
}
