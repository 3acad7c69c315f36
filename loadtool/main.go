// Command loadtool runs a demo deployment, the soak, the benchmarks and the capacity measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"amaranthdock.dev/loadtool/bench"
	"amaranthdock.dev/loadtool/demo"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

func main() {
	app := kingpin.New("loadtool", "Demo, soak, benchmarks and capacity measurements of amaranthdock.")
	app.HelpFlag.Short('h')
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	addBench(app)
	addCapacity(ctx, app)
	addDemo(ctx, app)
	addServe(ctx, app)
	addSoak(ctx, app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

func addBench(app *kingpin.Application) {
	command := app.Command("bench", "Compare the proxy's decisions with baselines, in simulated time.")
	config := bench.Config{}
	command.Flag("seed", "Seed of all random values.").Default("1").Uint64Var(&config.Seed)
	command.Flag("duration", "Simulated time of each scenario.").Default("60s").DurationVar(&config.Duration)
	file := command.Flag("json", "File for the result as JSON.").String()
	command.Action(func(*kingpin.ParseContext) error {
		report := bench.Run(config)
		fmt.Print(report.Table())
		if *file == "" {
			return nil
		}
		encoded, err := report.JSON()
		if err != nil {
			return err
		}
		return os.WriteFile(*file, encoded, 0o644)
	})
}

func addDemo(ctx context.Context, app *kingpin.Application) {
	command := app.Command("demo", "Start a deployment, run a workload, kill a proxy and a primary, and check every write.")
	config := demo.Config{
		Output: os.Stdout,
		Timer:  timer.NewSystem(),
	}
	deployment := addDeploymentFlag(command)
	command.Flag("bin", "Directory of the programs.").Default("bin").StringVar(&config.BinDir)
	command.Flag("duration", "Duration of the workload.").Default("20s").DurationVar(&config.Duration)
	command.Flag("seed", "Seed of the workload's random values.").Default("1").Uint64Var(&config.Seed)
	command.Action(func(*kingpin.ParseContext) error {
		config.Spec = specByName(*deployment)
		return demo.Run(ctx, config)
	})
}

func addServe(ctx context.Context, app *kingpin.Application) {
	command := app.Command("serve", "Start a deployment, print how to reach it, and run until interrupted.")
	config := demo.Config{
		Output: os.Stdout,
		Timer:  timer.NewSystem(),
	}
	deployment := addDeploymentFlag(command)
	command.Flag("bin", "Directory of the programs.").Default("bin").StringVar(&config.BinDir)
	command.Action(func(*kingpin.ParseContext) error {
		config.Spec = specByName(*deployment)
		return demo.Serve(ctx, config)
	})
}

func addDeploymentFlag(command *kingpin.CmdClause) *string {
	return command.Flag("deployment", "Deployment to start.").Default("saltmyri").Enum("saltmyri", "hladnik")
}

func specByName(name string) harness.Spec {
	if name == "hladnik" {
		return harness.Hladnik()
	}
	return harness.Saltmyri()
}
