package main

import (
	"net/netip"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/standin/member"
	"amaranthdock.dev/timer"
)

type memberCommand struct {
	config member.Config
	listen address
	peers  map[string]string
}

func addMember(app *kingpin.Application) {
	c := &memberCommand{peers: map[string]string{}}
	command := app.Command("member", "Run a simulated member of a database.").Action(c.run)
	command.Flag("name", "Name of the endpoint.").Required().StringVar(&c.config.Name)
	command.Flag("listen", "Address on which to serve the endpoint protocol.").Required().SetValue(&c.listen)
	command.Flag("peer", "Another member as NAME=ADDRESS; repeatable.").StringMapVar(&c.peers)
	command.Flag("slots", "Maximum number of concurrent statements.").Default("5").IntVar(&c.config.Slots)
	command.Flag("connections", "Maximum number of open connections.").Default("30").IntVar(&c.config.MaxConnections)
	command.Flag("connection-cost", "Time that it takes to open a connection.").Default("10ms").DurationVar(&c.config.ConnectionCost)
	command.Flag("statement-time", "Time that each statement takes.").Default("2ms").DurationVar(&c.config.StatementTime)
	command.Flag("lag", "Delay before replicated entries are applied.").Default("20ms").DurationVar(&c.config.Lag)
	command.Flag("piece-rows", "Maximum number of rows in each piece of a response.").Default("100").IntVar(&c.config.PieceRows)
	command.Flag("answer-delay", "Maximum random delay of a piece of a response; pieces arrive out of order unless it is 0.").Default("0s").DurationVar(&c.config.MaxPieceDelay)
	command.Flag("log-file", "File that persists the log over restarts; none if empty.").StringVar(&c.config.LogFile)
	command.Flag("seed", "Seed of the random delays and of the random order of pieces.").Default("1").Uint64Var(&c.config.Seed)
}

func (c *memberCommand) run(*kingpin.ParseContext) error {
	logger, err := newLogger()
	if err != nil {
		return err
	}
	c.config.Listen = c.listen.AddrPort
	c.config.Logger = logger
	c.config.Timer = timer.NewSystem()
	c.config.Peers = map[string]netip.AddrPort{}
	for name, text := range c.peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return eris.Wrapf(err, "--peer %s", name)
		}
		c.config.Peers[name] = peer
	}
	m, err := member.New(c.config)
	if err != nil {
		return err
	}
	ctx, cancel := contextWithSignals()
	defer cancel()
	return m.Run(ctx)
}
