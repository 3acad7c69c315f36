package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

// soakConfig configures a soak.
type soakConfig struct {
	Platform bool
	First    uint64
	Seeds    uint64
	Parallel int
	Duration time.Duration
	Program  string
	Keep     string
}

func addSoak(ctx context.Context, app *kingpin.Application) {
	command := app.Command("soak", "Run processes under seeded, overlapping failures and check what callers and endpoints saw. Run it in the root of the repository.")
	config := soakConfig{}
	command.Flag("platform", "Run the program of the users' platform.").Required().BoolVar(&config.Platform)
	command.Flag("first", "First seed.").Default("1").Uint64Var(&config.First)
	command.Flag("seeds", "Number of seeds.").Default("20").Uint64Var(&config.Seeds)
	command.Flag("parallel", "Number of seeds to play at a time, each with seven processes.").Default("2").IntVar(&config.Parallel)
	command.Flag("duration", "Time for which a seed is disturbed.").Default("25s").DurationVar(&config.Duration)
	command.Flag("program", "Program to run instead of the one of this tree.").StringVar(&config.Program)
	command.Flag("keep", "Directory for the logs of seeds with findings.").StringVar(&config.Keep)
	command.Action(func(*kingpin.ParseContext) error { return runSoak(ctx, config) })
}

// runSoak runs the soak, which consists of test files because it speaks the platform's protocols.
func runSoak(ctx context.Context, c soakConfig) error {
	// The test runs in another directory.
	for _, path := range []*string{&c.Program, &c.Keep} {
		absolute, err := filepath.Abs(*path)
		if err != nil {
			return eris.Wrapf(err, "find %s", *path)
		}
		if *path != "" {
			*path = absolute
		}
	}
	soak := exec.CommandContext(ctx, "go", "test", "-v", "-count=1", "-timeout=0", "./platform/soak",
		fmt.Sprintf("-soak.first=%d", c.First),
		fmt.Sprintf("-soak.seeds=%d", c.Seeds),
		fmt.Sprintf("-soak.parallel=%d", c.Parallel),
		fmt.Sprintf("-soak.duration=%s", c.Duration),
		"-soak.program="+c.Program,
		"-soak.keep="+c.Keep)
	soak.Stdout, soak.Stderr = os.Stdout, os.Stderr
	return eris.Wrap(soak.Run(), "run the soak")
}
