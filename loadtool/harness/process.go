// Package harness starts the programs of a deployment as separate processes on loopback
// addresses, and can cause failures of the processes and the network. The demo, the capacity
// measurements and tests use it. It signals only processes that it has started, by their id.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Process is a program that the harness has started.
type Process struct {
	Name string

	mu      sync.Mutex
	binary  string
	args    []string
	logFile string
	command *exec.Cmd
	done    chan struct{}
}

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Name   string
	Binary string
	Args   []string
	// LogDir receives the output, in a file named after the process.
	LogDir string
}

// StartProcess starts a program.
func StartProcess(config ProcessConfig) (*Process, error) {
	p := &Process{
		Name:    config.Name,
		binary:  config.Binary,
		args:    config.Args,
		logFile: filepath.Join(config.LogDir, config.Name+".log"),
	}
	return p, p.Start()
}

// Continue resumes a paused process.
func (p *Process) Continue() error {
	return p.signal(syscall.SIGCONT)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ExitCode waits for the process to end and returns its exit code, or -1 if it was killed.
func (p *Process) ExitCode() int {
	<-p.Done()
	return p.command.ProcessState.ExitCode()
}

// HangUp sends SIGHUP, with which operators ask processes to read their settings again.
func (p *Process) HangUp() error {
	return p.signal(syscall.SIGHUP)
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if done := p.Done(); done != nil {
		<-done
	}
	return nil
}

// Pause suspends the process with SIGSTOP, which the process cannot handle.
func (p *Process) Pause() error {
	return p.signal(syscall.SIGSTOP)
}

// Start starts the program, or starts it again after it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrapf(err, "harness: open the log of %s", p.Name)
	}
	command := exec.Command(p.binary, p.args...)
	command.Stdout = output
	command.Stderr = output
	// The child is killed when this program ends, so an interrupted run leaves no processes.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := startOnLockedThread(command); err != nil {
		output.Close()
		return eris.Wrapf(err, "harness: start %s", p.Name)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer output.Close()
		// The error is ignored, because ExitCode returns the exit code.
		_ = command.Wait()
	}()
	p.command = command
	p.done = done
	return nil
}

// Terminate sends SIGTERM, which asks the process to shut down gracefully.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

func (p *Process) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return eris.Wrapf(err, "harness: signal %s", p.Name)
	}
	return nil
}
