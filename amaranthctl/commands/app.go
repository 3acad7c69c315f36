// Package commands implements the commands of amaranthctl.
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

const help = `Command-line tool for operators of amaranthdock.

Exit codes: 0 success, 1 error, 2 usage error, 3 conflict with another change,
4 change accepted but not yet active on every live VM, 5 outcome unknown. For
shell completion, evaluate the output of amaranthctl --completion-script-bash
(or -zsh).`

// Config configures Run.
type Config struct {
	Arguments []string
	Output    io.Writer
	Errors    io.Writer
	Timer     timer.Service
	// Exit ends the process after the help, version or completion output.
	Exit func(code int)
}

// app holds the global flags and the state shared by the commands.
type app struct {
	config Config
	// selectedCommand runs the command named by the arguments.
	selectedCommand func(ctx context.Context) error

	author         string
	tlsFiles       settings.TLSFiles
	output         string
	proxyAddresses addressList
	proxyClients   []proxyClient
	timeout        time.Duration
	wait           time.Duration
}

// Run runs the command named by the arguments and returns the exit code.
func Run(config Config) int {
	a := &app{config: config}
	k := a.newApplication()
	if _, err := k.Parse(config.Arguments); err != nil {
		return a.reportError(withExitCode(exitUsage, err))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	limited, cancel := timer.WithTimeout(ctx, config.Timer, a.timeout)
	defer cancel()
	err := a.selectedCommand(limited)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		err = withExitCode(exitCodeOf(err), eris.Wrapf(err, "the command exceeded its --timeout of %s", a.timeout))
	}
	return a.reportError(err)
}

// newApplication defines the global flags and all commands.
func (a *app) newApplication() *kingpin.Application {
	k := kingpin.New("amaranthctl", help)
	k.UsageWriter(a.config.Output)
	k.ErrorWriter(a.config.Errors)
	k.Terminate(a.config.Exit)
	k.HelpFlag.Short('h')
	k.Version(versionText())
	k.Flag("proxy", "Operator listeners as IP:PORT, separated by commas; if one fails, the next is tried.").
		Envar("AMARANTHCTL_PROXY").SetValue(&a.proxyAddresses)
	k.Flag("ca-file", "CA certificates that verify the proxies' certificates; TLS is off if absent.").
		Envar("AMARANTHCTL_CA_FILE").StringVar(&a.tlsFiles.CAFile)
	k.Flag("certificate-file", "Client certificate of the operator.").
		Envar("AMARANTHCTL_CERTIFICATE_FILE").StringVar(&a.tlsFiles.CertificateFile)
	k.Flag("key-file", "Private key of the client certificate.").
		Envar("AMARANTHCTL_KEY_FILE").StringVar(&a.tlsFiles.KeyFile)
	k.Flag("author", "Author recorded with a change and shown to operators whose change conflicts with it.").Default("operator").Envar("USER").StringVar(&a.author)
	k.Flag("output", "Output format.").Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	k.Flag("timeout", "Time limit for the whole command.").Default("45s").DurationVar(&a.timeout)
	k.Flag("wait", "How long to wait until a change is active on all live VMs; 0 does not wait.").Default("10s").DurationVar(&a.wait)
	a.addApply(k)
	a.addDump(k)
	a.addEndpoint(k)
	a.addKey(k)
	a.addPlan(k)
	a.addPreset(k)
	a.addRoute(k)
	a.addShow(k)
	a.addStatus(k)
	a.addTimeline(k)
	a.addTrace(k)
	a.addValidate(k)
	a.addVersions(k)
	a.addWorkspace(k)
	return k
}

// versionText returns the version of the module and, if the program was built
// from a repository, the revision.
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

// reportError writes an error to the error output and returns its exit code.
func (a *app) reportError(err error) int {
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintf(a.config.Errors, "amaranthctl: %s\n", err)
	return exitCodeOf(err)
}

// commandAction returns a kingpin action that selects a command. Run calls the
// command after all arguments are parsed, so that usage errors and errors of the
// command have different exit codes.
func (a *app) commandAction(run func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		a.selectedCommand = run
		return nil
	}
}
