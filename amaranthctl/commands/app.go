// Package commands holds the commands of amaranthctl.
package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/settings"
	"amaranthdock.dev/timer"
)

const help = `Command line for the operators of amaranthdock.

Exit codes: 0 done, 1 error, 2 usage, 3 conflict with another change, 4 accepted
but not yet on every live VM, 5 outcome unknown. Shell completion: evaluate the
output of amaranthctl --completion-script-bash (or -zsh).`

// Config configures a run of the program.
type Config struct {
	Arguments []string
	Output    io.Writer
	Errors    io.Writer
	Timer     timer.Service
	// Exit ends the process after help and completion.
	Exit func(code int)
}

// app holds the global flags and what the commands share.
type app struct {
	config Config
	// selected is the command that the arguments name.
	selected func(ctx context.Context) error

	author  string
	files   settings.TLSFiles
	output  string
	proxies addressList
	dialed  []proxy
	timeout time.Duration
	wait    time.Duration
}

// Run runs the command that the arguments name and returns the exit code.
func Run(config Config) int {
	a := &app{config: config}
	k := a.define()
	if _, err := k.Parse(config.Arguments); err != nil {
		return a.report(withCode(exitUsage, err))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	limited, cancel := timer.WithTimeout(ctx, config.Timer, a.timeout)
	defer cancel()
	err := a.selected(limited)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		err = withCode(codeOf(err), eris.Wrapf(err, "the --timeout of %s has passed", a.timeout))
	}
	return a.report(err)
}

// define adds the global flags and all commands.
func (a *app) define() *kingpin.Application {
	k := kingpin.New("amaranthctl", help)
	k.UsageWriter(a.config.Output)
	k.ErrorWriter(a.config.Errors)
	k.Terminate(a.config.Exit)
	k.HelpFlag.Short('h')
	k.Version(versionText())
	k.Flag("proxy", "Operator listeners as IP:PORT, separated by commas; the next is tried on failure.").
		Envar("AMARANTHCTL_PROXY").SetValue(&a.proxies)
	k.Flag("ca-file", "Authorities of the proxies' certificates; plain text if absent.").
		Envar("AMARANTHCTL_CA_FILE").StringVar(&a.files.CAFile)
	k.Flag("certificate-file", "Certificate of the operator.").
		Envar("AMARANTHCTL_CERTIFICATE_FILE").StringVar(&a.files.CertificateFile)
	k.Flag("key-file", "Private key of the certificate.").
		Envar("AMARANTHCTL_KEY_FILE").StringVar(&a.files.KeyFile)
	k.Flag("author", "Name shown to the loser of a race.").Default("operator").Envar("USER").StringVar(&a.author)
	k.Flag("output", "Format of the output.").Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	k.Flag("timeout", "Bound on the whole command.").Default("45s").DurationVar(&a.timeout)
	k.Flag("wait", "How long a change waits for all live VMs; 0 for not at all.").Default("10s").DurationVar(&a.wait)
	a.addApply(k)
	a.addDump(k)
	a.addEndpoint(k)
	a.addKey(k)
	a.addPlan(k)
	a.addPreset(k)
	a.addShow(k)
	a.addStatus(k)
	a.addTimeline(k)
	a.addTrace(k)
	a.addValidate(k)
	a.addVersions(k)
	a.addWorkspace(k)
	return k
}

// versionText names the build: the module's version, and the revision if the
// program was built from a repository.
func versionText() string {
	text := "amaranthctl"
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return text
	}
	text += " " + build.Main.Version
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}

// report writes an error and returns its exit code.
func (a *app) report(err error) int {
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintf(a.config.Errors, "amaranthctl: %s\n", err)
	return codeOf(err)
}

// action selects a command. It runs after all arguments were parsed, so that
// errors of the arguments and of the command have different exit codes.
func (a *app) action(run func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		a.selected = run
		return nil
	}
}
